/**
 * Reads the state of model engines and sends orders to them.
 *
 * @module
 */
import { Agent, request } from 'undici'
import * as z from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlumstageError, describeError, parseJson, readBoundedText } from '@plumstage/common'
import type { CallContext, ConnectionResets } from '@plumstage/common'
import { createResettingConnector } from '@plumstage/common/resettingConnector'

/** The state that an engine reports or is ordered to assume. An order contains all of it, so repeating it is safe. */
export interface EngineState {
  adapter: string
}

/** The state of an engine could not be read, or an order was not executed. */
export const EngineOrderError = PlumstageError.subclass('EngineOrderError', { props: { code: 'engine_order_failed' } })

/** Reads the state of engines and sends orders to them. */
export interface EngineOrders {
  readState (context: CallContext, address: string): Promise<Result<EngineState, Error>>
  /** Orders an engine to assume a state. An engine that supports fencing refuses a number lower than one it has seen. */
  sendOrder (context: CallContext, address: string, state: EngineState, fencingNumber: number): Promise<Result<void, Error>>
}

const engineStateSchema = z.object({ adapter: z.string() })
/** A longer state is not read. */
const MAXIMUM_STATE_BYTES = 64 * 1024
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/** Sends orders as JSON over HTTP. */
export class HttpEngineOrders implements EngineOrders {
  private readonly _agent: Agent

  private constructor (agent: Agent) {
    this._agent = agent
  }

  /** `resets` counts the connections of orders that were given up, which an engine must not receive after those of the next holder. */
  static create (resets: ConnectionResets): HttpEngineOrders {
    return new HttpEngineOrders(new Agent({ connect: createResettingConnector({ target: 'upstream', resets, timeout: CONNECT_TIMEOUT_MILLISECONDS }) }))
  }

  async readState (context: CallContext, address: string): Promise<Result<EngineState, Error>> {
    try {
      const response = await request(`http://${address}/orders`, { dispatcher: this._agent, signal: context.signal })
      return ok(engineStateSchema.parse(parseJson(await readBoundedText(response.body, MAXIMUM_STATE_BYTES))))
    } catch (error) {
      return err(new EngineOrderError(`The state of the engine at ${address} could not be read: ${describeError(error)}. It is read again in the next round.`))
    }
  }

  async sendOrder (context: CallContext, address: string, state: EngineState, fencingNumber: number): Promise<Result<void, Error>> {
    try {
      const response = await request(`http://${address}/orders`, { dispatcher: this._agent, method: 'POST', signal: context.signal, headers: { 'content-type': 'application/json' }, body: JSON.stringify({ ...state, fencingNumber }) })
      await response.body.dump()
      if (response.statusCode === 200) return ok(undefined)
      return err(new EngineOrderError(`The engine at ${address} refused the order with status ${response.statusCode}. The duty holder with the highest fencing number sends it again.`))
    } catch (error) {
      return err(new EngineOrderError(`The order could not be sent to the engine at ${address}: ${describeError(error)}. It is sent again in the next round.`))
    }
  }
}
