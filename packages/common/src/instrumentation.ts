/**
 * The single hook through which event log, metrics and timeline receive every action of a process.
 *
 * @module
 */
import type { Clock, Timestamp } from './clock.js'
import { describeError } from './errors.js'
import { getLogger } from './logging.js'

/** Attributes of an event: a flat object that fits on one line. */
export type EventAttributes = Readonly<Record<string, string | number | boolean | undefined>>

/** One action of one process, written as one JSON line. */
export interface ActionEvent {
  /** Name of the process from its settings. */
  process: string
  /** Id of this incarnation of the process. */
  incarnation: string
  /** Sequence number within the incarnation, starting at 1. */
  sequence: number
  /** Time of the event in milliseconds since the epoch, by the clock of the process. */
  time: Timestamp
  kind: string
  request?: string
  attempt?: string
  attributes?: EventAttributes
}

/** Receives every event of a process, in order. */
export type EventListener = (event: ActionEvent) => void

/** Emits the events of one process to its listeners. */
export class Instrumentation {
  readonly process: string
  readonly incarnation: string
  private readonly _clock: Clock
  private readonly _listeners: EventListener[] = []
  private readonly _log = getLogger('events')
  private _sequence = 0

  private constructor (process: string, incarnation: string, clock: Clock) {
    this.process = process
    this.incarnation = incarnation
    this._clock = clock
  }

  static create (process: string, incarnation: string, clock: Clock): Instrumentation {
    return new Instrumentation(process, incarnation, clock)
  }

  addListener (listener: EventListener): void {
    this._listeners.push(listener)
  }

  emit (kind: string, attributes?: EventAttributes, request?: string, attempt?: string): void {
    this._sequence++
    if (this._listeners.length === 0) return
    const event: ActionEvent = {
      process: this.process,
      incarnation: this.incarnation,
      sequence: this._sequence,
      time: this._clock.now(),
      kind,
      request,
      attempt,
      attributes
    }
    for (const listener of this._listeners) this._notify(listener, event)
  }

  /** The work that an event tells of goes on also if a listener fails. */
  private _notify (listener: EventListener, event: ActionEvent): void {
    try {
      listener(event)
    } catch (error) {
      this._log.error(`A listener failed for an event of kind ${event.kind}: ${describeError(error)}. Report this to the developers.`)
    }
  }
}
