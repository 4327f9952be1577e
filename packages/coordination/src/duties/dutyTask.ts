/**
 * Keeps the lease of one duty in the key-value service.
 *
 * @module
 */
import * as z from 'zod'
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { KeyValueService } from '../keyValue/keyValueService.js'
import { DutyLease } from './dutyLease.js'
import type { DutyLeaseTiming, HeldDuty } from './dutyLease.js'
import { toNumber } from '../keyValue/storePosition.js'

const CALL_TIMEOUT_MILLISECONDS = 2000
const MILLISECONDS_PER_SECOND = 1000

const holderSchema = z.object({ holder: z.string() })

/** Reads the holder's name from the value of a duty's key; undefined if another program wrote the value. */
export function parseDutyHolder (value: string): string | undefined {
  try {
    return holderSchema.safeParse(JSON.parse(value)).data?.holder
  } catch {
    // Not JSON, so not written by a duty task. The key still prevents every gateway from acquiring the duty.
    return undefined
  }
}

/** A call that only the holder of a duty may make. Call `context.finish` when it has ended. */
export interface DutyCall {
  fencingNumber: number
  /** Era of the key-value service in which the duty was acquired. */
  era: number
  /** Cancelled at the time limit of the call, or when the holder has to stop acting: what arrives later may follow calls of the next holder. */
  context: CallContext
  /** Whether this gateway still holds the duty as it did when the call began. */
  mayAct: () => boolean
}

/** Acquires and renews the lease of one duty. */
export class DutyTask {
  private readonly _service: KeyValueService
  private readonly _key: string
  private readonly _holder: string
  private readonly _clock: Clock
  private readonly _instrumentation: Instrumentation
  private readonly _isCandidate: () => boolean
  private readonly _lease: DutyLease

  private constructor (service: KeyValueService, key: string, holder: string, isCandidate: () => boolean, clock: Clock, instrumentation: Instrumentation, timing?: DutyLeaseTiming) {
    this._lease = DutyLease.create(timing)
    this._isCandidate = isCandidate
    this._service = service
    this._key = key
    this._holder = holder
    this._clock = clock
    this._instrumentation = instrumentation
  }

  /**
   * `key` is the key of the duty in the key-value service, `holder` the name of this gateway. Only candidates try to
   * acquire the duty, so that the number of calls to the service does not grow with the number of gateways.
   */
  static create (service: KeyValueService, key: string, holder: string, isCandidate: () => boolean, clock: Clock, instrumentation: Instrumentation, timing?: DutyLeaseTiming): DutyTask {
    return new DutyTask(service, key, holder, isCandidate, clock, instrumentation, timing)
  }

  /** Returns the duty if this gateway may act on it now. Call it before every order. */
  getHeldDuty (): HeldDuty | undefined {
    return this._lease.getHeldDuty(this._clock.now(), this._service.era)
  }

  /** Begins a call with a time limit, which is given up earlier if the duty ends; undefined if this gateway does not hold it. */
  beginCall (context: CallContext, timeoutMilliseconds: number): DutyCall | undefined {
    const duty = this.getHeldDuty()
    if (!duty) return undefined
    const deadline = Math.min(this._clock.now() + timeoutMilliseconds, duty.actingDeadline)
    const { fencingNumber, era } = duty
    return { fencingNumber, era, context: context.createChild(deadline, this._clock), mayAct: () => this.getHeldDuty()?.fencingNumber === fencingNumber }
  }

  /** Abandons the duty because the platform has seen a later holder. */
  abandon (): void {
    const held = this.getHeldDuty()
    if (held) this._lease.recordExpired(held.lease)
  }

  /** Acquires and renews the lease until the context is cancelled. */
  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      const action = this._lease.tick(this._clock.now())
      if (action) {
        const call = context.createChild(this._clock.now() + CALL_TIMEOUT_MILLISECONDS, this._clock)
        if (action.kind === 'renew') await this._renew(call, action.lease)
        else if (this._isCandidate()) await this._acquire(call, context)
        call.finish()
      }
      await context.sleepUntil(this._lease.nextTickAt, this._clock)
    }
  }

  /** `context` has the time limit of the acquisition, `task` lasts as long as the task. */
  private async _acquire (context: CallContext, task: CallContext): Promise<void> {
    const calledAt = this._clock.now()
    const current = await this._service.get(context, this._key)
    if (current.isErr() || current.value !== undefined) return
    const lease = await this._service.grantLease(context, this._lease.timing.leaseMilliseconds / MILLISECONDS_PER_SECOND)
    if (lease.isErr()) return
    const written = await this._service.transact(context, {
      conditions: [{ kind: 'create-revision', key: this._key, revision: 0 }],
      onSuccess: [{ kind: 'put', key: this._key, value: JSON.stringify({ holder: this._holder }), lease: lease.value.id }],
      onFailure: []
    })
    // A write without a response counts as failed. If it did take effect, the key is deleted together with its lease.
    if (written.isErr() || !written.value.succeeded) return await this._revoke(task, lease.value.id)
    this._lease.recordAcquired(lease.value.id, written.value, calledAt)
    this._instrumentation.emit('duty-acquired', { duty: this._key, fencingNumber: toNumber(written.value), era: written.value.era })
  }

  /** The time of the acquisition may be over: without a time of its own, the lease would keep the duty from all others. */
  private async _revoke (task: CallContext, lease: bigint): Promise<void> {
    const call = task.createChild(this._clock.now() + CALL_TIMEOUT_MILLISECONDS, this._clock)
    await this._service.revokeLease(call, lease)
    call.finish()
  }

  private async _renew (context: CallContext, lease: bigint): Promise<void> {
    const calledAt = this._clock.now()
    const renewed = await this._service.keepLeaseAlive(context, lease)
    if (renewed.isErr()) return
    if (renewed.value) return this._lease.recordRenewed(lease, calledAt)
    this._lease.recordExpired(lease)
    this._instrumentation.emit('duty-lapsed', { duty: this._key })
  }
}
