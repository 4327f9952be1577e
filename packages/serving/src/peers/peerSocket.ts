/**
 * The datagram socket on which one gateway exchanges messages with its peers. A first byte that begins no protobuf field
 * distinguishes messages about streams from reports, also for gateways of earlier releases.
 *
 * @module
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { PeriodicLog, createListenError, getLogger, splitAddress } from '@plumstage/common'
import type { BackgroundTasks, Clock } from '@plumstage/common'

const STREAM_MARK = 0

/** Receives the datagrams of one kind, without the mark, and the address of their sender. */
export type DatagramHandler = (bytes: Buffer, sender: string) => void

/** Sends and receives the datagrams of one gateway. */
export class PeerSocket {
  private readonly _socket: Socket
  private readonly _log = getLogger('peers')
  private readonly _unsentWarning: PeriodicLog
  private _unsentMessages = 0
  private _closed = false
  private _onReport: DatagramHandler = () => {}
  private _onStreamMessage: DatagramHandler = () => {}

  private constructor (tasks: BackgroundTasks, clock: Clock) {
    this._unsentWarning = PeriodicLog.create(this._log, clock)
    this._socket = createSocket('udp4')
    this._socket.on('message', (bytes, sender) => { tasks.guard('peer-messages', () => this._receive(bytes, `${sender.address}:${sender.port}`)) })
  }

  /** Binds the socket to `address`; rejects with a `ListenError`. `tasks` reports the errors of the handlers. */
  static async create (address: string, tasks: BackgroundTasks, clock: Clock): Promise<PeerSocket> {
    const created = new PeerSocket(tasks, clock)
    try {
      await created._bind(address)
    } catch (error) {
      created.close()
      throw error
    }
    return created
  }

  /** Number of messages that the system did not send. */
  get unsentMessages (): number {
    return this._unsentMessages
  }

  onReport (handler: DatagramHandler): void {
    this._onReport = handler
  }

  onStreamMessage (handler: DatagramHandler): void {
    this._onStreamMessage = handler
  }

  sendReport (bytes: Uint8Array, address: string): void {
    this._send(bytes, address)
  }

  sendStreamMessage (bytes: Uint8Array, address: string): void {
    this._send(Buffer.concat([Buffer.of(STREAM_MARK), bytes]), address)
  }

  /** Later messages are not sent. */
  close (): void {
    if (this._closed) return
    this._closed = true
    this._socket.close()
  }

  private async _bind (address: string): Promise<void> {
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      const fail = (cause: Error): void => reject(createListenError(address, cause))
      this._socket.once('error', fail)
      this._socket.bind(port, host, () => { this._socket.off('error', fail); resolve() })
    })
    this._socket.on('error', error => this._log.warn(`The datagram socket at ${address} failed: ${error.message}. Messages to peers resume when it works again.`))
  }

  private _send (bytes: Uint8Array, address: string): void {
    if (this._closed) return
    const { host, port } = splitAddress(address)
    this._socket.send(bytes, port, host, error => { if (error) this._noticeUnsent(address, error) })
  }

  private _noticeUnsent (address: string, error: Error): void {
    if (this._closed) return
    this._unsentMessages++
    this._unsentWarning.warn(`A message to ${address} was not sent: ${error.message}. Its content follows with later ones; if this lasts, check the network.`)
  }

  private _receive (bytes: Buffer, sender: string): void {
    if (bytes[0] === STREAM_MARK) this._onStreamMessage(bytes.subarray(1), sender)
    else this._onReport(bytes, sender)
  }
}
