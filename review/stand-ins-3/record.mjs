/** Writes what happens to a file, with the time since the start of the case. */
import { closeSync, openSync, writeSync } from 'node:fs'

export class Record {
  static create (path) {
    const record = new Record()
    record.file = openSync(path, 'w')
    record.startedAt = performance.now()
    return record
  }

  write (text, at = performance.now()) { writeSync(this.file, `${((at - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`) }

  close () { closeSync(this.file) }
}
