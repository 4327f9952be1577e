/**
 * Stand-in for the users' cloud: accepts every call and keeps the usage reports.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A usage report as the cloud received it. */
export interface ReceivedReport {
  window: number
  counts: Record<string, number>
  holder: string
}

/** A running cloud. */
export class CloudStandin {
  readonly reports: ReceivedReport[] = []
  private readonly _server: Server

  private constructor () {
    this._server = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk: Buffer) => { text += chunk.toString() })
      request.on('end', () => {
        this._receive(request.url ?? '', text, String(request.headers['plumstage-duty-holder']))
        response.end()
      })
    })
  }

  static async create (): Promise<CloudStandin> {
    const cloud = new CloudStandin()
    await new Promise<void>(resolve => cloud._server.listen(0, '127.0.0.1', resolve))
    return cloud
  }

  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Windows with at least one report, in order. */
  get windows (): number[] {
    return [...new Set(this.reports.map(({ window }) => window))].sort((left, right) => left - right)
  }

  /** Windows of which reports with different counts came. */
  get contradictoryWindows (): number[] {
    return this.windows.filter(window => new Set(this.reports.filter(report => report.window === window).map(({ counts }) => JSON.stringify(counts))).size > 1)
  }

  /** Resolves when a report of a window, or of a later one, has come. */
  async waitForReport (window: number): Promise<void> {
    while (!this.reports.some(report => report.window >= window)) await new Promise(resolve => setTimeout(resolve, 20))
  }

  async stop (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise<void>(resolve => this._server.close(() => resolve()))
  }

  private _receive (path: string, text: string, holder: string): void {
    if (path !== '/usage') return
    const { window_id: window, counts } = JSON.parse(text) as { window_id: number, counts: Record<string, number> }
    this.reports.push({ window, counts, holder })
  }
}
