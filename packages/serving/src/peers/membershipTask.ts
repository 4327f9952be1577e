/**
 * Registers a gateway in the store under a lease, so that its peers can find it.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { KeyValueLease, KeyValueService } from '@plumstage/coordination'
import { encodeRegistration } from './gatewayRegistration.js'
import type { GatewayRegistration } from './gatewayRegistration.js'

const LEASE_SECONDS = 12
const RENEW_MILLISECONDS = 4000
const RETRY_MILLISECONDS = 1000
const CALL_TIMEOUT_MILLISECONDS = 1500

/** Dependencies of the task, and the entry that it writes. */
export interface MembershipTaskOptions {
  store: KeyValueService
  key: string
  registration: GatewayRegistration
  clock: Clock
  instrumentation: Instrumentation
}

/** Creates and renews the registration of one gateway. */
export class MembershipTask {
  private readonly _options: MembershipTaskOptions
  private _lease: KeyValueLease | undefined

  private constructor (options: MembershipTaskOptions) {
    this._options = options
  }

  static create (options: MembershipTaskOptions): MembershipTask {
    return new MembershipTask(options)
  }

  /** Registers the gateway, or renews its lease, until the context is cancelled. */
  async run (context: CallContext): Promise<void> {
    const { clock } = this._options
    while (!context.cancelled) {
      const callContext = context.createChild(clock.now() + CALL_TIMEOUT_MILLISECONDS, clock)
      const isRegistered = this._lease ? await this._renew(callContext, this._lease) : await this._register(callContext)
      callContext.finish()
      await context.sleepUntil(clock.now() + (isRegistered ? RENEW_MILLISECONDS : RETRY_MILLISECONDS), clock)
    }
  }

  private async _register (context: CallContext): Promise<boolean> {
    const { store, key, registration, instrumentation } = this._options
    const lease = await store.grantLease(context, LEASE_SECONDS)
    if (lease.isErr()) return false
    const written = await store.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key, value: encodeRegistration(registration), lease: lease.value.id }], onFailure: [] })
    if (written.isErr() || !written.value.succeeded) return false
    this._lease = lease.value
    instrumentation.emit('gateway-registered', { key, revision: written.value.revision })
    return true
  }

  private async _renew (context: CallContext, lease: KeyValueLease): Promise<boolean> {
    const renewed = await this._options.store.keepLeaseAlive(context, lease.id)
    if (renewed.isErr()) return false
    if (renewed.value) return true
    this._lease = undefined
    this._options.instrumentation.emit('gateway-registration-lapsed', { key: this._options.key })
    return false
  }
}
