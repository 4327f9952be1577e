/**
 * A long-lived stream to another gateway, on which messages are exchanged one after the other.
 *
 * @module
 */
import type { Client } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import type { CallContext } from '@plumstage/common'
import type { PeerMessage } from './peerLink.js'
import { PeerStreamDecoder, PeerStreamEncoder } from './peerStreamCodec.js'

/** A stream to one peer. It can't be used again after a failure; create a new one instead. */
export class PeerConversation {
  private readonly _deployment: string
  private readonly _encoder = PeerStreamEncoder.create()
  private readonly _decoder = PeerStreamDecoder.create()
  private readonly _abort = new AbortController()
  private readonly _outbox: peer.ConverseRequest[] = []
  private readonly _responses: AsyncIterator<peer.ConverseResponse>
  /** Resumes the request stream when it waits for the next message. */
  private _wake: (() => void) | undefined
  private _lastExchange: Promise<unknown> = Promise.resolve()

  private constructor (client: Client<typeof peer.PeerService>, deployment: string) {
    this._deployment = deployment
    this._responses = client.converse(this._createRequests(), { signal: this._abort.signal, timeoutMs: 0 })[Symbol.asyncIterator]()
  }

  static create (client: Client<typeof peer.PeerService>, deployment: string): PeerConversation {
    return new PeerConversation(client, deployment)
  }

  /** Sends a message and returns the peer's response. Throws if the peer does not respond before the context ends. */
  async exchange (context: CallContext, message: PeerMessage): Promise<PeerMessage> {
    const previous = this._lastExchange
    const response = this._exchangeAfter(previous, message)
    this._lastExchange = response.catch(() => {})
    const stopListening = context.onCancel(() => this.close())
    try {
      return await response
    } finally {
      stopListening()
    }
  }

  close (): void {
    this._abort.abort()
    this._wake?.()
  }

  private async _exchangeAfter (previous: Promise<unknown>, message: PeerMessage): Promise<PeerMessage> {
    await previous
    this._outbox.push(create(peer.ConverseRequestSchema, { deployment: this._deployment, knowledge: this._encoder.encode(message) }))
    this._wake?.()
    const { value, done } = await this._responses.next()
    if (done === true || !value.knowledge) throw new Error('the peer ended the conversation')
    return this._decoder.decode(value.knowledge)
  }

  private async * _createRequests (): AsyncGenerator<peer.ConverseRequest> {
    while (!this._abort.signal.aborted) {
      const request = this._outbox.shift()
      if (request) yield request
      else await new Promise<void>(resolve => { this._wake = resolve })
    }
  }
}
