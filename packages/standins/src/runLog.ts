/**
 * Record of the runs of upstream stand-ins that outlives their process.
 *
 * @module
 */
import { appendFileSync } from 'node:fs'

/** One run of one call on one upstream. */
export interface UpstreamRun {
  upstream: string
  /** What the call asked for: the text of the first message, or the body of a plain call. */
  content: string
  requestId: string
  /** Milliseconds since the epoch. */
  startedAt: number
  /** Position after which the run continued an answer; 0 for a new one. */
  position: number
}

/** Appends runs to a file, each before it begins. */
export class RunLog {
  private readonly _file: string

  private constructor (file: string) {
    this._file = file
  }

  static create (file: string): RunLog {
    return new RunLog(file)
  }

  append (run: UpstreamRun): void {
    appendFileSync(this._file, JSON.stringify(run) + '\n')
  }
}
