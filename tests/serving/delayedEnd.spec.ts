import assert from 'node:assert/strict'
import { Duplex } from 'node:stream'
import { beforeEach, describe, it } from 'node:test'
import { DelayedEnd } from '@plumstage/serving'

/** A connection whose bytes come from the test. */
class TestConnection extends Duplex {
  override _read (): void {}
  override _write (_bytes: Buffer, _encoding: BufferEncoding, callback: () => void): void {
    callback()
  }
}

/** Reads all bytes that there are unless it is paused, as undici does. */
class PausingReader {
  isPaused = false
  bytes = ''
  hasEnded = false
  error: NodeJS.ErrnoException | undefined
  private readonly _connection: Duplex

  constructor (connection: Duplex) {
    this._connection = connection
    connection.on('readable', () => this._readMore())
    connection.on('end', () => { this.hasEnded = true })
    connection.on('error', error => { this.error = error })
  }

  resume (): void {
    this.isPaused = false
    this._readMore()
  }

  private _readMore (): void {
    while (!this.isPaused) {
      const chunk = this._connection.read() as Buffer | null
      if (chunk === null) return
      this.bytes += chunk.toString()
      this.isPaused = this.bytes.endsWith('|')
    }
  }
}

async function turn (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('the end of a connection', () => {
  let connection: TestConnection
  let reader: PausingReader
  beforeEach(() => {
    connection = new TestConnection()
    DelayedEnd.attach(connection)
    reader = new PausingReader(connection)
  })

  it('comes at once while the reader waits for bytes', async () => {
    await turn()
    connection.push(null)
    await turn()
    assert.equal(reader.hasEnded, true)
  })

  it('comes behind bytes that arrive with it', async () => {
    connection.push('all')
    connection.push(null)
    await turn()
    assert.deepEqual([reader.bytes, reader.hasEnded], ['all', true])
  })

  // Guards against: the end arrives while a response is paused behind its last byte, where undici throws.
  it('comes only after a pause, behind the bytes before it', async () => {
    connection.push('one|')
    await turn()
    connection.push('two|')
    connection.push(null)
    await turn()
    assert.deepEqual([reader.bytes, reader.hasEnded], ['one|', false])
    reader.resume()
    await turn()
    assert.deepEqual([reader.bytes, reader.hasEnded], ['one|two|', false])
    reader.resume()
    await turn()
    assert.equal(reader.hasEnded, true)
  })

  it('that is a reset is reported as one while the reader waits', async () => {
    connection.destroy(Object.assign(new Error('reset'), { code: 'ECONNRESET' }))
    await turn()
    assert.equal(reader.error?.code, 'ECONNRESET')
  })

  // Guards against: undici throws at a reset while a response is paused.
  it('that is a reset during a pause is reported as another error', async () => {
    connection.push('one|')
    await turn()
    connection.destroy(Object.assign(new Error('reset'), { code: 'ECONNRESET' }))
    await turn()
    assert.deepEqual([reader.error?.code, reader.error?.message], [undefined, 'The connection was reset while the response was paused.'])
  })
})
