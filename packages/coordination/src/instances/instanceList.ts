/**
 * The platform's list of instances and its reclaim notices. Both lag behind what happens.
 *
 * @module
 */
import { request } from 'undici'
import { z } from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlumstageError, describeError } from '@plumstage/common'
import type { CallContext, Timestamp } from '@plumstage/common'

/** Whether an instance runs or is about to be taken away. */
export type InstanceState = 'live' | 'leaving'

/** An instance as the platform lists it. */
export interface Instance {
  pool: string
  /** IP number and port of the service on the instance. */
  address: string
  failureDomain: string
  instanceClass: string
  /** Differs between two instances that have used the same address one after the other. */
  incarnation: string
  state: InstanceState
  /** When the instance is taken away, in milliseconds since the epoch; only for a leaving one. */
  deadline?: Timestamp
}

/** The instance list could not be read. */
export const InstanceListError = PlumstageError.subclass('InstanceListError', { props: { code: 'instance_list_unavailable' } })

/** Interface to the platform's instance list. */
export interface InstanceList {
  /** Reads all instances of all pools, with the reclaim notices folded in. */
  list (context: CallContext): Promise<Result<Instance[], Error>>
}

const instancesSchema = z.object({
  instances: z.array(z.object({
    pool: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    instanceClass: z.string(),
    incarnation: z.string(),
    state: z.enum(['live', 'leaving']),
    deadline: z.number().optional()
  }))
})

/** Reads the instance list as JSON over HTTP. */
export class HttpInstanceList implements InstanceList {
  private readonly _address: string

  private constructor (address: string) {
    this._address = address
  }

  /** Creates the adapter; `address` is a URL such as `http://10.0.0.6:7000`. */
  static create (address: string): HttpInstanceList {
    return new HttpInstanceList(address)
  }

  async list (context: CallContext): Promise<Result<Instance[], Error>> {
    try {
      const response = await request(new URL('/instances', this._address), { signal: context.signal })
      return ok(instancesSchema.parse(await response.body.json()).instances)
    } catch (error) {
      return err(new InstanceListError(`The instance list at ${this._address} could not be read: ${describeError(error)}. Check its address and that it answers.`))
    }
  }
}
