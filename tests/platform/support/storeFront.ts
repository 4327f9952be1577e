/**
 * A front of the store for one gateway: passes calls on, or treats them as a store does that is in trouble for this gateway only.
 *
 * @module
 */
import { createServer, request } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SilentConnections } from './silentConnections.js'

/** How calls are treated. */
export type StoreTrouble =
  /** Refused with 503. */
  | 'busy'
  /** Refused with 429. */
  | 'limited'
  /** Connections are reset. */
  | 'reset'
  /** Accepted and never answered, also those that wait already. */
  | 'silent'
  /** Carried out; every second answer is lost together with its connection. */
  | 'losing'
  /** Answered `SLOW_MILLISECONDS` late. */
  | 'slow'

const SLOW_MILLISECONDS = 250
const REFUSALS: Partial<Record<StoreTrouble, number>> = { busy: 503, limited: 429 }

/** A running front. */
export class StoreFront {
  private readonly _server: Server
  private readonly _port: number
  private readonly _host: string
  /** Those that act now; the last one counts. */
  private readonly _troubles: StoreTrouble[] = []
  private _answers = 0
  private readonly _connections = SilentConnections.create()

  private constructor (storeAddress: string) {
    const [host, port] = storeAddress.split(':')
    this._host = host
    this._port = Number(port)
    this._server = createServer((incoming, response) => this._serve(incoming, response))
    this._connections.observe(this._server)
  }

  static async create (storeAddress: string): Promise<StoreFront> {
    const front = new StoreFront(storeAddress)
    await new Promise<void>(resolve => front._server.listen(0, '127.0.0.1', resolve))
    return front
  }

  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  beginTrouble (trouble: StoreTrouble): void {
    this._troubles.push(trouble)
    if (trouble === 'reset') this._server.closeAllConnections()
  }

  endTrouble (trouble: StoreTrouble): void {
    this._troubles.splice(this._troubles.indexOf(trouble), 1)
  }

  /** Makes all open connections silent for good, also for calls that wait; new ones work. */
  silenceConnections (): void {
    this._connections.silence()
  }

  private get _trouble (): StoreTrouble | undefined {
    return this._troubles.at(-1)
  }

  async stop (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise<void>(resolve => this._server.close(() => resolve()))
  }

  private _serve (incoming: IncomingMessage, response: ServerResponse): void {
    if (this._trouble === 'reset') return void incoming.socket.resetAndDestroy()
    if (this._trouble === 'silent' || this._connections.isSilent(incoming.socket)) return void incoming.resume()
    const refusal = this._trouble && REFUSALS[this._trouble]
    if (refusal !== undefined) return refuse(incoming, response, refusal)
    const { socket } = incoming
    const call = request({ host: this._host, port: this._port, method: incoming.method, path: incoming.url, headers: incoming.headers }, answer => { if (!this._connections.isSilent(socket)) this._pass(answer, response) })
    call.on('error', () => response.destroy())
    response.once('close', () => call.destroy())
    incoming.pipe(call)
  }

  private _pass (answer: IncomingMessage, response: ServerResponse): void {
    if (this._trouble === 'silent') return
    if (this._trouble === 'losing' && this._answers++ % 2 === 0) return void response.destroy()
    const pass = (): void => {
      response.writeHead(answer.statusCode ?? 0, answer.headers)
      answer.pipe(response)
    }
    if (this._trouble === 'slow') setTimeout(pass, SLOW_MILLISECONDS)
    else pass()
  }
}

function refuse (incoming: IncomingMessage, response: ServerResponse, status: number): void {
  incoming.resume()
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end('{}')
}
