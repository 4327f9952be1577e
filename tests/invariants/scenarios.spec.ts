import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { listScenarios, readScenario } from '../../scenarios/runner/scenarioFiles.js'
import { runScenario } from '../../scenarios/runner/scenarioRunner.js'

const SEEDS = [1, 2]

describe('scenarios', () => {
  for (const name of listScenarios()) {
    const scenario = readScenario(name)
    it(`${scenario.name}: ${scenario.proves}`, async () => {
      for (const seed of SEEDS) {
        const { violations, unmetExpectations: unmet } = await runScenario(scenario, seed)
        assert.deepEqual([...violations, ...unmet], [], `seed ${seed}`)
      }
    })
  }
})
