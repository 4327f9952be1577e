/**
 * The platform's list of instances and its reclaim notices. Both may be out of date.
 *
 * @module
 */
import { request } from 'undici'
import * as z from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlumstageError, describeError, getLogger, isNetworkAddress, parseJson, readBoundedText } from '@plumstage/common'
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

const instanceSchema = z.object({
  pool: z.string(),
  address: z.string().refine(isNetworkAddress, 'must be an IP address and a port'),
  failureDomain: z.string(),
  instanceClass: z.string(),
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']),
  deadline: z.int().min(0).optional()
})

/** Instances are decoded one by one, so that one that can't be read does not hide the others. */
const listSchema = z.object({ instances: z.array(z.unknown()) })
/** A longer list is not read. */
const MAXIMUM_LIST_BYTES = 16 * 1024 * 1024

/** Reads the instance list as JSON over HTTP. */
export class HttpInstanceList implements InstanceList {
  private readonly _address: string
  private readonly _log = getLogger('instances')

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
      return ok(this._decode(listSchema.parse(parseJson(await readBoundedText(response.body, MAXIMUM_LIST_BYTES))).instances))
    } catch (error) {
      return err(new InstanceListError(`The instance list at ${this._address} can't be read: ${describeError(error)}. Check that its address is correct and reachable.`))
    }
  }

  private _decode (documents: readonly unknown[]): Instance[] {
    const instances = documents.map(document => instanceSchema.safeParse(document)).filter(result => result.success).map(({ data }) => data!)
    if (instances.length < documents.length) this._log.warn(`${documents.length - instances.length} of ${documents.length} instances in the list at ${this._address} can't be read and are left out. Correct their entries.`)
    return instances
  }
}
