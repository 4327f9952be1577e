import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { expectedCompletion, parseStream } from '../support/responses.js'
import { Deployment } from '../support/deployment.js'

const NOTICE_MILLISECONDS = 3000
const STREAMS = 6
const TOKENS = 700
const PROMPT = 'Summarise the minutes of the cooperative. '.repeat(100)

interface ReclaimResult {
  recomputedTokens: number
  importedTokens: number
}

/** Reclaims one of two engines while it serves long streams, and checks every response. */
async function reclaimUnderLoad (abilities: string): Promise<ReclaimResult> {
  const deployment = await Deployment.create({ engines: 2, usesInstanceList: true, abilities: `echoesRequestId: true, resume: true${abilities}`, engineOptions: { stepMilliseconds: 10 } })
  try {
    const texts = Array.from({ length: STREAMS }, async () => await (await deployment.sendChat({ stream: true, max_tokens: TOKENS, messages: [{ role: 'user', content: PROMPT }] })).text())
    await deployment.waitForEvent(() => deployment.events.filter(event => event.kind === 'first-bytes').length === STREAMS)
    const leaving = deployment.engines.find(engine => engine.counts.started > 0)!
    deployment.instanceList.state.announceReclaim(leaving.address, Date.now() + NOTICE_MILLISECONDS)
    await deployment.waitForEvent(event => event.kind === 'upstream-leaving')
    const timer = setTimeout(() => void leaving.stop(), NOTICE_MILLISECONDS)
    for (const text of await Promise.all(texts)) {
      const stream = parseStream(text)
      assert.equal(stream.text, expectedCompletion(PROMPT, TOKENS))
      assert.equal(stream.done, true)
    }
    clearTimeout(timer)
    const sum = (count: 'recomputedTokens' | 'importedTokens'): number => deployment.engines.reduce((total, engine) => total + engine.counts[count], 0)
    return { recomputedTokens: sum('recomputedTokens'), importedTokens: sum('importedTokens') }
  } finally {
    await deployment.stop()
  }
}

describe('reclaim of an engine under load', () => {
  it('migrates streams and recomputes their tokens where the KV cache cannot be transferred', async () => {
    const { recomputedTokens, importedTokens } = await reclaimUnderLoad('')
    assert.ok(recomputedTokens > 0)
    assert.equal(importedTokens, 0)
  })

  it('transfers the KV cache from the leaving engine where that is faster, and recomputes almost nothing', async () => {
    const { recomputedTokens, importedTokens } = await reclaimUnderLoad(', cacheTransferTokensPerSecond: 100000')
    assert.ok(importedTokens > 0)
    assert.ok(recomputedTokens < importedTokens / 10, `${recomputedTokens} recomputed, ${importedTokens} transferred`)
  })
})
