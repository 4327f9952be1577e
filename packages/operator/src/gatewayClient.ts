/**
 * Client of a gateway's HTTP interface for operators.
 *
 * @module
 */
import { request } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { describeError } from '@plumstage/common'
import { ServiceFailedError } from './operatorErrors.js'

/** A gateway, as listed in the status of a gateway. */
export interface MemberView {
  name: string
  address: string
  failureDomain: string
  state: string
  configurationRevision: number
}

/** An upstream, as listed in the status of a gateway. */
export interface UpstreamView {
  service: string
  address: string
  failureDomain: string
  state: string
  drained: boolean
  inFlight: number
  estimatedLoad: number
}

/** Status that a gateway reports to operators. */
export interface StatusView {
  self: MemberView
  stopping: boolean
  keyValueService: { health: string, problem?: string }
  unreadableRecords: Array<{ key: string, revision: number, problem: string }>
  members: Array<{ member: MemberView, suspect: boolean }>
  upstreams: UpstreamView[]
  requests: { inFlight: number, waiting: number, running: number }
}

/** Explanation of how a gateway would route a request. */
export interface ExplanationView {
  summary: string
  route?: string
  priority?: string
  idempotency?: string
  candidates: Array<{ address: string, failureDomain: string, excluded?: string, score: { total: number, wait: number, prefill: number, distance: number, price: number, recomputation: number } }>
}

/** The request whose routing is to be explained. */
export interface RouteQuery {
  model?: string
  method?: string
  path?: string
  prompt?: string
}

const TIMEOUT_MILLISECONDS = 5000

/** Sends requests to the operator interface of one gateway. */
export class GatewayClient {
  private readonly _url: string
  private readonly _token: string

  private constructor (url: string, token: string) {
    this._url = url
    this._token = token
  }

  /** `url` is the gateway's operator listener, for example `http://10.0.0.7:8081`. */
  static create (url: string, token: string): GatewayClient {
    return new GatewayClient(url, token)
  }

  async readStatus (): Promise<Result<StatusView, Error>> {
    return await this._sendRequest<StatusView>('GET', '/status')
  }

  async explain (query: RouteQuery): Promise<Result<ExplanationView, Error>> {
    return await this._sendRequest<ExplanationView>('POST', '/explain', query)
  }

  private async _sendRequest<ResponseBody> (method: 'GET' | 'POST', path: string, body?: object): Promise<Result<ResponseBody, Error>> {
    try {
      const response = await request(new URL(path, this._url), {
        method,
        headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json' },
        body: body && JSON.stringify(body),
        headersTimeout: TIMEOUT_MILLISECONDS,
        bodyTimeout: TIMEOUT_MILLISECONDS
      })
      const responseBody = await response.body.json() as ResponseBody & { error?: { message: string } }
      if (response.statusCode !== 200) return err(new ServiceFailedError(`The gateway at ${this._url} rejected the request: ${responseBody.error?.message ?? `status ${response.statusCode}`}`))
      return ok(responseBody)
    } catch (error) {
      return err(new ServiceFailedError(`The gateway at ${this._url} did not respond: ${describeError(error)}. Check --gateway.`))
    }
  }
}
