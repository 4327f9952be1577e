/**
 * Records what happened in a case, and ends it with the status that tells whether the rule held.
 *
 * @module
 */
import { appendFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2
const LIMIT_MILLISECONDS = 110_000

/** Creates the record of a case in its folder; returns the function that adds a line to it. */
export function createRecord (folder, hasTrouble) {
  const path = join(folder, 'record.txt')
  const startedAt = performance.now()
  writeFileSync(path, `# ${hasTrouble ? 'with' : 'without'} the disruption; times in seconds since the start\n`)
  return (kind, fields = {}) => {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
    appendFileSync(path, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${kind} ${text}\n`)
  }
}

/** Runs a case: `play` returns the violations that it saw. `cleanUp` ends everything that the case started. */
export async function runCase (record, play, cleanUp) {
  let status = NOT_RUN
  const limit = setTimeout(() => finish(NOT_RUN), LIMIT_MILLISECONDS)
  const finish = async result => {
    clearTimeout(limit)
    await cleanUp()
    process.exit(result)
  }
  try {
    const violations = await play()
    for (const violation of violations) record('violation', { text: violation })
    status = violations.length > 0 ? BROKEN : HELD
    record('result', { status, violations: violations.length })
    console.log(violations.length > 0 ? `broken: ${violations.length}; ${violations[0]}` : 'held')
  } catch (error) {
    record('not-run', { error: error.message })
    console.error(error)
  }
  await finish(status)
}
