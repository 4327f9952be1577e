/**
 * Tests that fail for a fault which is not fixed yet: they still run, and CI passes although they fail.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const LIST = readFileSync(new URL('../../KNOWN-RED.txt', import.meta.url), 'utf8')

/** Options for a test whose name may be in KNOWN-RED.txt. */
export interface KnownRedOptions {
  /** Marks the failure as expected; the test runner reports it without failing. */
  todo: string | false
}

/** Returns the options of a test: its failure is expected while KNOWN-RED.txt has an entry that begins with its name. */
export function knownRed (test: string): KnownRedOptions {
  const entry = LIST.split('\n').find(line => line.startsWith(`${test}. `))
  return { todo: entry ?? false }
}
