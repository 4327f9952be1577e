/**
 * The platform's list of instances and its reclaim notices. Both may be out of date.
 *
 * @module
 */
import { request } from 'undici'
import * as z from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlumstageError, describeError } from '@plumstage/common'
import type { CallContext, Timestamp } from '@plumstage/common'

/** Whether an instance runs or is about to be reclaimed. */
export type InstanceState = 'live' | 'leaving'

/** An instance as the platform lists it. */
export interface Instance {
  pool: string
  /** IP address and port of the service on the instance. */
  address: string
  failureDomain: string
  instanceClass: string
  /** Distinguishes instances that used the same address one after the other. */
  incarnation: string
  state: InstanceState
  /** When the instance is reclaimed, in milliseconds since the epoch; only set for a leaving instance. */
  deadline?: Timestamp
}

/** The instance list can't be read. */
export const InstanceListError = PlumstageError.subclass('InstanceListError', { props: { code: 'instance_list_unavailable' } })

/** Interface to the platform's instance list. */
export interface InstanceList {
  /** Lists the instances of all pools, with reclaim notices already applied. */
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
      return err(new InstanceListError(`The instance list at ${this._address} can't be read: ${describeError(error)}. Check that its address is correct and reachable.`))
    }
  }
}
