/**
 * Writes events as JSON lines without ever blocking on a slow reader.
 *
 * @module
 */
import { openSync } from 'node:fs'
import sonicBoom from 'sonic-boom'
import { formatEvent } from './eventLog.js'
import type { ActionEvent } from './instrumentation.js'

const { SonicBoom } = sonicBoom

const STANDARD_OUTPUT = 1
const FLUSH_BYTES = 8 * 1024
const MAXIMUM_PENDING_BYTES = 1024 * 1024
const FLUSH_MILLISECONDS = 250
/** What is left when the log is closed is written within this time or lost. */
const CLOSE_MILLISECONDS = 250

/** Appends events to standard output or a file. Lines that exceed the buffer because the reader is slow are dropped and counted. */
export class BoundedEventLog {
  private readonly _output: InstanceType<typeof SonicBoom>
  private readonly _timer: NodeJS.Timeout
  private _droppedLines = 0
  private _isClosing = false

  private constructor (output: InstanceType<typeof SonicBoom>) {
    this._output = output
    this._output.on('drop', () => { this._droppedLines++ })
    this._output.on('error', () => { this._droppedLines++ })
    this._timer = setInterval(() => this._output.flush(), FLUSH_MILLISECONDS)
    this._timer.unref()
  }

  /** Opens the log; `target` is a path, or `-` for standard output. */
  static create (target: string): BoundedEventLog {
    const descriptor = target === '-' ? STANDARD_OUTPUT : openSync(target, 'a')
    return new BoundedEventLog(new SonicBoom({ fd: descriptor, sync: false, minLength: FLUSH_BYTES, maxLength: MAXIMUM_PENDING_BYTES }))
  }

  /** Number of lines dropped since the log was opened. */
  get droppedLines (): number {
    return this._droppedLines
  }

  /** Appends an event; ignores it once the log is being closed. */
  append (event: ActionEvent): void {
    if (!this._isClosing) this._output.write(formatEvent(event) + '\n')
  }

  /** Writes what is left, if that takes no longer than a moment: a reader that has gone or stands still must not keep a process. */
  async close (): Promise<void> {
    this._isClosing = true
    clearInterval(this._timer)
    await new Promise<void>(resolve => {
      setTimeout(resolve, CLOSE_MILLISECONDS)
      this._output.once('error', () => resolve())
      this._output.once('close', resolve)
      this._output.end()
    })
  }
}
