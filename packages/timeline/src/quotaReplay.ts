/**
 * Replays the quota of each workspace over the events of all gateways, as one token bucket that knows every admitted
 * request at once, to find requests that a gateway refused although the workspace was within its quota.
 *
 * @module
 */
import type { ActionEvent } from '@plumstage/common'

const MILLISECONDS_PER_SECOND = 1000

/** A request that was charged to a workspace's quota, or refused by it. */
interface QuotaUse {
  event: ActionEvent
  /** When the gateway decided. */
  time: number
  units: number
  admitted: boolean
  /** Only known of refused requests. */
  limits?: QuotaLimits
}

interface QuotaLimits {
  unitsPerSecond: number
  burstUnits: number
}

/** Knows which refused requests would have fitted. */
export class QuotaReplay {
  private readonly _fitting = new Set<ActionEvent>()

  private constructor (events: readonly ActionEvent[]) {
    const byWorkspace = new Map<string, QuotaUse[]>()
    for (const event of events) {
      const use = readQuotaUse(event)
      if (!use) continue
      const workspace = String(event.attributes?.workspace)
      const uses = byWorkspace.get(workspace) ?? []
      byWorkspace.set(workspace, uses)
      uses.push(use)
    }
    for (const uses of byWorkspace.values()) this._replay(uses)
  }

  static create (events: readonly ActionEvent[]): QuotaReplay {
    return new QuotaReplay(events)
  }

  /** Whether the quota had enough left for a request that was refused. */
  wouldHaveAdmitted (event: ActionEvent): boolean {
    return this._fitting.has(event)
  }

  /** The limits of a quota appear only with its refused requests; before the first of them, its limits are assumed. */
  private _replay (uses: QuotaUse[]): void {
    let limits = uses.find(use => use.limits !== undefined)?.limits
    if (!limits) return
    uses.sort((left, right) => left.time - right.time)
    let remaining = limits.burstUnits
    let refilledAt = uses[0].time
    for (const use of uses) {
      limits = use.limits ?? limits
      remaining = Math.min(limits.burstUnits, remaining + limits.unitsPerSecond * (use.time - refilledAt) / MILLISECONDS_PER_SECOND)
      refilledAt = use.time
      if (use.admitted) remaining -= use.units
      else if (remaining >= use.units) this._fitting.add(use.event)
    }
  }
}

function readQuotaUse (event: ActionEvent): QuotaUse | undefined {
  const { quotaUnits, milliseconds, quotaUnitsPerSecond, quotaBurstUnits } = event.attributes ?? {}
  const units = Number(quotaUnits ?? 0)
  if (units <= 0) return undefined
  if (event.kind === 'request-ended') return { event, time: event.time - Number(milliseconds ?? 0), units, admitted: true }
  return { event, time: event.time, units, admitted: false, limits: { unitsPerSecond: Number(quotaUnitsPerSecond), burstUnits: Number(quotaBurstUnits) } }
}
