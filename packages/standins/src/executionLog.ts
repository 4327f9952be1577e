/**
 * Log of the requests that upstream stand-ins have executed, kept in a file so that it outlives their processes.
 *
 * @module
 */
import { appendFileSync } from 'node:fs'

/** One execution of one request by one upstream. */
export interface UpstreamExecution {
  upstream: string
  /** Content of the request: the first message or the prompt at an engine, the body at a plain service. */
  content: string
  requestId: string
  /** Milliseconds since the epoch. */
  startedAt: number
  /** Token position after which the execution resumed a response; 0 for a new response. */
  position: number
}

/** Appends each execution to a file as one line of JSON, before the execution begins. */
export class ExecutionLog {
  private readonly _file: string

  private constructor (file: string) {
    this._file = file
  }

  static create (file: string): ExecutionLog {
    return new ExecutionLog(file)
  }

  append (execution: UpstreamExecution): void {
    appendFileSync(this._file, JSON.stringify(execution) + '\n')
  }
}
