/**
 * Sends the reports of one gateway in datagrams, and counts what did not fit into them.
 *
 * @module
 */
import { PeriodicLog, getLogger } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import type { GatewayReport } from './gatewayReport.js'
import type { PeerSocket } from './peerSocket.js'
import { ReportFitter } from './reportFitter.js'

/** Sends reports over the socket of one gateway. */
export class ReportSender {
  private readonly _socket: PeerSocket
  private readonly _fitter = ReportFitter.create()
  private readonly _warning: PeriodicLog
  private _leftOutItems = 0

  private constructor (socket: PeerSocket, clock: Clock) {
    this._socket = socket
    this._warning = PeriodicLog.create(getLogger('peers'), clock)
  }

  static create (socket: PeerSocket, clock: Clock): ReportSender {
    return new ReportSender(socket, clock)
  }

  /** Number of items that were left out of reports since the start; most of them follow with later reports. */
  get leftOutItems (): number {
    return this._leftOutItems
  }

  send (report: GatewayReport, address: string): void {
    const { bytes, leftOut } = this._fitter.encode(report)
    this._leftOutItems += leftOut
    if (leftOut > 0) this._warning.warn(`A report to ${address} left out ${leftOut} items that do not fit into a datagram; they follow with later ones. Shorter ids of upstreams or names of workspaces make reports shorter.`)
    this._socket.sendReport(bytes, address)
  }
}
