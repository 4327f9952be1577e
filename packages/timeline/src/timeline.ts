/**
 * Merges the events of several processes into one order.
 *
 * @module
 */
import type { ActionEvent } from '@plumstage/common'

/** Which events are of interest. */
export interface TimelineFilter {
  request?: string
  process?: string
  /** Start of the kind, for example `configuration-`. */
  kind?: string
}

/** Events that were lost: a gap in the order of one process. */
export interface MissingEvents {
  process: string
  incarnation: string
  afterSequence: number
  beforeSequence: number
}

/** An ordered time line. */
export interface Timeline {
  events: ActionEvent[]
  missing: MissingEvents[]
}

/**
 * Orders events by time. Within one run of a process its own order holds, also where its clock was set back: such an
 * event takes the time of the one before it.
 */
export function mergeEvents (events: readonly ActionEvent[]): Timeline {
  const missing: MissingEvents[] = []
  const keyed: Array<{ event: ActionEvent, orderTime: number }> = []
  for (const run of groupByIncarnation(events)) {
    run.sort((left, right) => left.sequence - right.sequence)
    let orderTime = Number.NEGATIVE_INFINITY
    run.forEach((event, index) => {
      const previous = run[index - 1]
      if (previous && event.sequence > previous.sequence + 1) missing.push({ process: event.process, incarnation: event.incarnation, afterSequence: previous.sequence, beforeSequence: event.sequence })
      orderTime = Math.max(orderTime, event.time)
      keyed.push({ event, orderTime })
    })
  }
  keyed.sort((left, right) => left.orderTime - right.orderTime)
  return { events: keyed.map(entry => entry.event), missing }
}

/** Returns the events that a filter lets through. */
export function filterEvents (events: readonly ActionEvent[], filter: TimelineFilter): ActionEvent[] {
  return events.filter(event =>
    (filter.request === undefined || event.request === filter.request) &&
    (filter.process === undefined || event.process === filter.process) &&
    (filter.kind === undefined || event.kind.startsWith(filter.kind)))
}

/** Groups events by run of a process; an event that stands in several files counts once. */
function groupByIncarnation (events: readonly ActionEvent[]): ActionEvent[][] {
  const runs = new Map<string, Map<number, ActionEvent>>()
  for (const event of events) {
    const key = `${event.process} ${event.incarnation}`
    const run = runs.get(key) ?? new Map<number, ActionEvent>()
    runs.set(key, run)
    run.set(event.sequence, event)
  }
  return [...runs.values()].map(run => [...run.values()])
}
