/**
 * Merges the events of several processes into one timeline.
 *
 * @module
 */
import type { ActionEvent } from '@plumstage/common'

/** Criteria that an event must meet; those that are not set match all events. */
export interface TimelineFilter {
  request?: string
  process?: string
  /** Prefix of the kind, for example `configuration-`. */
  kind?: string
}

/** Lost events: a gap in the sequence numbers of one incarnation of a process. */
export interface MissingEvents {
  process: string
  incarnation: string
  afterSequence: number
  beforeSequence: number
}

/** Events in order, and the gaps between them. */
export interface Timeline {
  events: ActionEvent[]
  missing: MissingEvents[]
}

/**
 * Orders events by time. Events of one incarnation of a process stay in sequence order even if the clock was set back:
 * an event with an earlier time than its predecessor is ordered by the predecessor's time.
 */
export function mergeEvents (events: readonly ActionEvent[]): Timeline {
  const missing: MissingEvents[] = []
  const keyed: Array<{ event: ActionEvent, orderTime: number }> = []
  for (const group of groupByIncarnation(events)) {
    group.sort((left, right) => left.sequence - right.sequence)
    let orderTime = Number.NEGATIVE_INFINITY
    group.forEach((event, index) => {
      const previous = group[index - 1]
      if (previous && event.sequence > previous.sequence + 1) missing.push({ process: event.process, incarnation: event.incarnation, afterSequence: previous.sequence, beforeSequence: event.sequence })
      orderTime = Math.max(orderTime, event.time)
      keyed.push({ event, orderTime })
    })
  }
  keyed.sort((left, right) => left.orderTime - right.orderTime)
  return { events: keyed.map(entry => entry.event), missing }
}

/** Returns the events that match the filter. */
export function filterEvents (events: readonly ActionEvent[], filter: TimelineFilter): ActionEvent[] {
  return events.filter(event =>
    (filter.request === undefined || event.request === filter.request) &&
    (filter.process === undefined || event.process === filter.process) &&
    (filter.kind === undefined || event.kind.startsWith(filter.kind)))
}

/** Groups events by process and incarnation, and drops duplicates of events that occur in several files. */
function groupByIncarnation (events: readonly ActionEvent[]): ActionEvent[][] {
  const groups = new Map<string, Map<number, ActionEvent>>()
  for (const event of events) {
    const key = `${event.process} ${event.incarnation}`
    const group = groups.get(key) ?? new Map<number, ActionEvent>()
    groups.set(key, group)
    group.set(event.sequence, event)
  }
  return [...groups.values()].map(group => [...group.values()])
}
