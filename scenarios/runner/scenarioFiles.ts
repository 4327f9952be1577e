/**
 * Lists and reads the scenario files in `scenarios/cases`.
 *
 * @module
 */
import { readFileSync, readdirSync } from 'node:fs'
import { parse } from 'yaml'
import { scenarioSchema } from './scenarioSchema.js'
import type { Scenario } from './scenarioSchema.js'

const SCENARIO_FOLDER = new URL('../cases/', import.meta.url)
const SCENARIO_FILE = /\.yaml$/

/** Returns the names of all scenarios, sorted. */
export function listScenarios (): string[] {
  return readdirSync(SCENARIO_FOLDER).filter(file => SCENARIO_FILE.test(file)).map(file => file.replace(SCENARIO_FILE, '')).sort()
}

/** Reads and validates a scenario; throws if it does not match the schema. */
export function readScenario (name: string): Scenario {
  const parsed = scenarioSchema.safeParse(parse(readFileSync(new URL(`${name}.yaml`, SCENARIO_FOLDER), 'utf8')))
  if (parsed.success) return parsed.data
  throw new Error(`Scenario ${name} is invalid: ${parsed.error.issues.map(issue => `${issue.path.join('.')} ${issue.message}`).join('; ')}`)
}
