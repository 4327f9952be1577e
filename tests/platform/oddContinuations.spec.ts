import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { answer, breakOffAfter, breakOffWith, formatEvents, OTHER_SUCCESSES, SOUND, WITHIN_EVENT, WITHOUT_ID, WITHOUT_NEW_EVENT } from './support/oddAnswers.js'
import type { Answer } from './support/oddAnswers.js'
import { PlatformDeployment } from './support/platformDeployment.js'
import type { CallerResponse } from './support/platformDeployment.js'
import type { ResponseScript } from './support/upstreamStandin.js'

const BEGUN = formatEvents(1, 4)
const RESUMED = { 'Last-Event-Id': '4' }

describe('odd answers to requests for streams', () => {
  let deployment: PlatformDeployment
  /** Requests that upstreams received for the last request of the caller. */
  let attempts = 0
  beforeEach(async () => { deployment = await PlatformDeployment.create(3) })
  afterEach(async () => await deployment.stop())

  /** Sends a request whose attempts are answered one after the other, whichever upstream they reach; the last script repeats. */
  async function send (target: string, scripts: readonly ResponseScript[], headers: Record<string, string> = {}): Promise<CallerResponse> {
    attempts = 0
    for (const upstream of deployment.upstreams) upstream.script = (request, standin) => scripts[Math.min(attempts++, scripts.length - 1)](request, standin)
    return await deployment.sendRequest(target, { method: 'POST', headers })
  }

  /** A stream that has begun is cut, and holds nothing of an odd answer but the events that were sound. */
  async function findBadlyContinued (answers: readonly Answer[]): Promise<string[]> {
    const bad: string[] = []
    for (const { name, script } of answers) {
      const response = await send('/manual/x', [breakOffAfter(4), script])
      const isSound = attempts === 2 && response.status === 200 && !response.complete && [BEGUN, formatEvents(1, 5)].includes(response.body.replaceAll(': working\n\n', ''))
      if (!isSound) bad.push(`${name}: ${attempts} attempts, ${describeResponse(response)}`)
    }
    return bad
  }

  /** A caller that resumes a stream itself gets no success. */
  async function findBadlyResumed (answers: readonly Answer[]): Promise<string[]> {
    const bad: string[] = []
    for (const { name, script } of answers) {
      const response = await send('/manual/x', [script], RESUMED)
      const isSound = response.status === 502 || (response.status === 200 && !response.complete && !/no room|HTTP/.test(response.body))
      if (!isSound) bad.push(`${name}: ${attempts} attempts, ${describeResponse(response)}`)
    }
    return bad
  }

  // Guards against: the end of an answer counts as the end of the stream, although nothing was added after it had broken off.
  it('ORDER: a stream that broke off does not end as complete with an answer that adds no event', async () => {
    assert.deepEqual(await findBadlyContinued(WITHOUT_NEW_EVENT), [])
  })

  // Guards against: the same when the caller itself goes on after a broken connection.
  it('ORDER: a stream that its caller resumes does not end as complete with an answer that adds no event', async () => {
    assert.deepEqual(await findBadlyResumed(WITHOUT_NEW_EVENT), [])
  })

  // Guards against: a stream is cut, or ends, although another upstream may go on with it.
  it('ORDER: a stream goes on at a third upstream after an answer that adds no event', async () => {
    const routes = deployment.routes.map(route => ({ ...route, max_attempts: 3 })) as typeof deployment.routes
    const revision = deployment.configure({ version: 4, routes })
    await deployment.waitForEvent(event => event.kind === 'configuration-applied' && Number(event.attributes?.revision) === revision)
    for (const { name, script } of WITHOUT_NEW_EVENT) {
      const response = await send('/manual/x', [breakOffAfter(4), script, answer(formatEvents(5, 6))])
      assert.deepEqual([response.status, response.complete, response.body.replaceAll(': working\n\n', '').replace('\n\n\n\n', '\n\n')], [200, true, formatEvents(1, 6)], name)
    }
  })

  // Guards against: any status below 300 continues a stream, or ends it as complete.
  it('ORDER: a stream goes on only with an event stream of status 200', async () => {
    assert.deepEqual(await findBadlyContinued(OTHER_SUCCESSES), [])
    assert.deepEqual(await findBadlyResumed(OTHER_SUCCESSES), [])
  })

  // Guards against: whatever an empty line ends counts as an event, also the text or the head of an error.
  it('MIXED: text that belongs to no event with an id does not get into a stream that may be resumed', async () => {
    assert.deepEqual(await findBadlyContinued(WITHOUT_ID), [])
    assert.deepEqual(await findBadlyResumed(WITHOUT_ID), [])
  })

  // Guards against: the empty line after a foreign head ends an event that had begun.
  it('MIXED: the head of an error in the middle of an event does not get into a stream', async () => {
    assert.deepEqual(await findBadlyContinued(WITHIN_EVENT), [])
    assert.deepEqual(await findBadlyResumed(WITHIN_EVENT), [])
  })

  // Guards against: a first answer whose body holds a head is passed on as a stream, here one that may run only once.
  it('MIXED: the head of an error is not the first event of a stream', async () => {
    for (const { name, script } of WITHOUT_ID.filter(({ name }) => /alone|^the head of an error(, in a chunk)?$/.test(name))) {
      const response = await send('/summary/x', [script])
      assert.equal(response.status, 502, `${name}: ${describeResponse(response)}`)
    }
  })

  // Guards against: a stream that has not begun is given up, or begins with what is no event of it.
  it('ORDER, MIXED: a stream begins at another upstream after a first answer that is none', async () => {
    const first = [...WITHOUT_NEW_EVENT, ...OTHER_SUCCESSES, ...WITHOUT_ID].filter(({ name }) => /^(no bytes until|204|the text of an error as|the text of an error alone|the head of an error$)/.test(name))
    for (const { name, script } of first) {
      const response = await send('/manual/x', [script, answer(formatEvents(1, 6))])
      assert.deepEqual([attempts, response.status, response.complete, response.body], [2, 200, true, formatEvents(1, 6)], name)
    }
    assert.equal(first.length, 6)
  })

  // Guards against: after a break, another upstream writes the stream from its beginning after what the caller has.
  it('ORDER: a stream without ids does not begin anew within one response', async () => {
    const response = await send('/manual/x', [breakOffWith('data: a\n\ndata: b\n\n'), answer('data: a\n\ndata: b\n\ndata: c\n\n')])
    assert.ok(!response.complete || response.status !== 200, describeResponse(response))
    assert.ok(response.body.split('data: a').length <= 2, describeResponse(response))
  })

  // Guards against: events follow the first part of a body that is no stream.
  it('MIXED: a body that is no stream is cut where it breaks off', async () => {
    const response = await send('/manual/x', [breakOffWith('x'.repeat(300 * 1024), 'Content-Type: text/plain\r\n'), answer(formatEvents(1, 2))])
    assert.deepEqual([response.status, response.complete, /^x+$/.test(response.body)], [200, false, true])
  })

  // Guards against: a check of continuations that cuts sound streams.
  it('continue a stream where they are sound', async () => {
    for (const { name, script } of SOUND) {
      const response = await send('/manual/x', [breakOffAfter(4), script])
      assert.deepEqual([response.status, response.complete, [...response.body.matchAll(/^id: ?(\d+)/gm)].map(([, id]) => Number(id))], [200, true, [1, 2, 3, 4, 5, 6]], `${name}: ${describeResponse(response)}`)
    }
  })

  // Guards against: a stream that lost only its end, and of which no event can be missing, is cut.
  it('end a stream as complete if no event can be missing', async () => {
    const tokens = { 'Plumstage-Model': 'm', 'Plumstage-Token-Count': '10,4', 'Plumstage-Prompt-Prefix': 'a1:10' }
    for (const script of [answer(''), answer('', 'length')]) {
      const continued = await send('/manual/x', [breakOffAfter(4), script], tokens)
      assert.deepEqual([continued.status, continued.complete, continued.body], [200, true, BEGUN])
      const resumed = await send('/manual/x', [script], { ...tokens, ...RESUMED })
      assert.deepEqual([resumed.status, resumed.complete, resumed.body], [200, true, ''])
    }
  })

  // Guards against: a check of ids that breaks streams which may not be resumed and need none.
  it('are passed on unchanged where a stream may not be resumed', async () => {
    for (const body of ['data: a\n\ndata: b\n\n', ': working\n\ndata: a\n\n', `${formatEvents(1, 2)}data: [DONE]\n\n`]) {
      const response = await send('/summary/x', [answer(body)])
      assert.deepEqual([response.status, response.complete, response.body], [200, true, body])
    }
  })
})

function describeResponse ({ status, complete, body }: CallerResponse): string {
  return `${status}, ${complete ? 'complete' : 'cut'}, ${JSON.stringify(body)}`
}
