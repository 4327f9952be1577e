/**
 * The response to one caller over HTTP.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { CallerConnection } from './callerConnections.js'
import type { CallerProtocol } from './callerProtocol.js'
import type { Rejection } from './rejection.js'

const JSON_TYPE = 'application/json'

/** The response to one caller: a complete response, a stream or a rejection, and never more than one of them. */
export interface CallerExchange {
  /** Whether any part of the response has been written. */
  readonly started: boolean
  /** Whether the caller has closed its connection, as far as that was read. */
  readonly isDisconnected: boolean
  /** Calls back once if the caller's connection closes before the response has ended. */
  onDisconnected (callback: () => void): void
  /** Calls back once when more bytes can be written. */
  onceDrained (callback: () => void): void
  /** Starts a response of unknown length. `headers` holds alternating names and values. */
  start (status: number, headers: readonly string[]): void
  /** Writes bytes of a started response; false when the caller can't keep up. */
  write (bytes: Buffer): boolean
  end (): void
  sendComplete (status: number, headers: readonly string[], body: Buffer): void
  reject (rejection: Rejection): void
  /** Closes the connection without ending the response: the only way to show that a started response is incomplete. */
  cut (): void
}

/** Writes the response to a caller with Node's HTTP server. */
export class HttpCallerExchange implements CallerExchange {
  private readonly _response: ServerResponse
  private readonly _protocol: CallerProtocol
  private readonly _connection: CallerConnection
  private readonly _closesConnection: () => boolean

  private constructor (response: ServerResponse, protocol: CallerProtocol, connection: CallerConnection, closesConnection: () => boolean) {
    this._response = response
    this._protocol = protocol
    this._connection = connection
    this._closesConnection = closesConnection
  }

  /** `closesConnection` returns whether to close the connection after the response, because the gateway is stopping. */
  static create (response: ServerResponse, protocol: CallerProtocol, connection: CallerConnection, closesConnection: () => boolean): HttpCallerExchange {
    return new HttpCallerExchange(response, protocol, connection, closesConnection)
  }

  get started (): boolean {
    return this._response.headersSent
  }

  get isDisconnected (): boolean {
    const { socket } = this._response.req
    return socket.readableEnded || socket.destroyed
  }

  onDisconnected (callback: () => void): void {
    this._response.once('close', () => { if (!this._response.writableFinished) callback() })
  }

  onceDrained (callback: () => void): void {
    this._response.once('drain', callback)
  }

  start (status: number, headers: readonly string[]): void {
    this._writeHead(status, headers)
    this._response.flushHeaders()
  }

  write (bytes: Buffer): boolean {
    return this._response.write(bytes)
  }

  end (): void {
    this._response.end()
  }

  sendComplete (status: number, headers: readonly string[], body: Buffer): void {
    this._writeHead(status, [...headers, 'content-length', String(body.length)])
    this._response.end(body)
  }

  reject (rejection: Rejection): void {
    if (this.started) return this.cut()
    const body = Buffer.from(JSON.stringify({ error: { code: rejection.kind, message: rejection.message } }))
    if (!this._response.req.complete) this._response.shouldKeepAlive = false
    this.sendComplete(rejection.status, [...this._protocol.encodeRejection(rejection), 'content-type', JSON_TYPE], body)
  }

  cut (): void {
    this._response.destroy()
  }

  private _writeHead (status: number, headers: readonly string[]): void {
    if (this._closesConnection() && this._connection.isLast(this._response)) this._response.shouldKeepAlive = false
    if (!this._response.shouldKeepAlive) this._connection.recordClosing()
    this._response.writeHead(status, [...headers])
  }
}
