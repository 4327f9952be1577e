/**
 * State of the instance list stand-in. Changes become visible after a configurable delay.
 *
 * @module
 */
import * as z from 'zod'
import type { Clock, Timestamp } from '@plumstage/common'

export const listedInstanceSchema = z.strictObject({
  pool: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  instanceClass: z.string().default('standard'),
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
  deadline: z.number().optional()
})

export type ListedInstance = z.infer<typeof listedInstanceSchema>

interface ListVersion {
  visibleFrom: Timestamp
  instances: readonly ListedInstance[]
}

/** The actual instances and the delayed view of them that the list serves. */
export class InstanceListState {
  /** Delay until a change becomes visible, in milliseconds. */
  lagMilliseconds = 0
  private readonly _clock: Clock
  private _versions: ListVersion[] = [{ visibleFrom: 0, instances: [] }]

  private constructor (clock: Clock) {
    this._clock = clock
  }

  static create (clock: Clock): InstanceListState {
    return new InstanceListState(clock)
  }

  /** The instances that the list serves now. */
  get visibleInstances (): readonly ListedInstance[] {
    const now = this._clock.now()
    while (this._versions.length > 1 && this._versions[1].visibleFrom <= now) this._versions.shift()
    return this._versions[0].instances
  }

  /** Adds an instance, or replaces the one at its address. */
  put (instance: ListedInstance): void {
    const remaining = this._latestInstances.filter(other => other.address !== instance.address)
    this._addVersion([...remaining, instance])
  }

  remove (address: string): void {
    this._addVersion(this._latestInstances.filter(instance => instance.address !== address))
  }

  /** Announces that an instance will be reclaimed at `deadline`, in milliseconds since the epoch. */
  announceReclaim (address: string, deadline: Timestamp): void {
    this._addVersion(this._latestInstances.map(instance => instance.address === address ? { ...instance, state: 'leaving' as const, deadline } : instance))
  }

  private get _latestInstances (): readonly ListedInstance[] {
    return this._versions[this._versions.length - 1].instances
  }

  private _addVersion (instances: readonly ListedInstance[]): void {
    this._versions.push({ visibleFrom: this._clock.now() + this.lagMilliseconds, instances })
  }
}
