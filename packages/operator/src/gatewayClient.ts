/**
 * Asks a gateway's interface for operators.
 *
 * @module
 */
import { request } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { describeError } from '@plumstage/common'
import { ServiceFailedError } from './operatorErrors.js'

/** A gateway as its peers know it. */
export interface MemberView {
  name: string
  address: string
  failureDomain: string
  state: string
  configurationRevision: number
}

/** An upstream as a gateway knows it. */
export interface UpstreamView {
  service: string
  address: string
  failureDomain: string
  state: string
  drained: boolean
  inFlight: number
  estimatedLoad: number
}

/** State of one gateway, as it tells operators. */
export interface StatusView {
  self: MemberView
  stopping: boolean
  keyValueService: { health: string, problem?: string }
  unreadableRecords: Array<{ key: string, revision: number, problem: string }>
  members: Array<{ member: MemberView, suspect: boolean }>
  upstreams: UpstreamView[]
  requests: { inFlight: number, waiting: number, running: number }
}

/** Why a request would go where. */
export interface ExplanationView {
  summary: string
  route?: string
  priority?: string
  idempotency?: string
  candidates: Array<{ address: string, failureDomain: string, excluded?: string, score: { total: number, wait: number, prefill: number, distance: number, price: number, recomputation: number } }>
}

/** The request that is to be explained. */
export interface ExplainRequest {
  model?: string
  method?: string
  path?: string
  prompt?: string
}

const TIMEOUT_MILLISECONDS = 5000

/** Calls one gateway. */
export class GatewayClient {
  private readonly _url: string
  private readonly _token: string

  private constructor (url: string, token: string) {
    this._url = url
    this._token = token
  }

  /** `url` is that of the gateway's listener for operators, for example `http://10.0.0.7:8081`. */
  static create (url: string, token: string): GatewayClient {
    return new GatewayClient(url, token)
  }

  async readStatus (): Promise<Result<StatusView, Error>> {
    return await this._sendRequest<StatusView>('GET', '/status')
  }

  async explain (question: ExplainRequest): Promise<Result<ExplanationView, Error>> {
    return await this._sendRequest<ExplanationView>('POST', '/explain', question)
  }

  private async _sendRequest<Answer> (method: 'GET' | 'POST', path: string, body?: object): Promise<Result<Answer, Error>> {
    try {
      const response = await request(new URL(path, this._url), {
        method,
        headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json' },
        body: body && JSON.stringify(body),
        headersTimeout: TIMEOUT_MILLISECONDS,
        bodyTimeout: TIMEOUT_MILLISECONDS
      })
      const answer = await response.body.json() as Answer & { error?: { message: string } }
      if (response.statusCode !== 200) return err(new ServiceFailedError(`The gateway at ${this._url} refused: ${answer.error?.message ?? `status ${response.statusCode}`}`))
      return ok(answer)
    } catch (error) {
      return err(new ServiceFailedError(`The gateway at ${this._url} did not answer: ${describeError(error)}. Check --gateway.`))
    }
  }
}
