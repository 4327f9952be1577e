/**
 * Orders to model engines.
 *
 * @module
 */
import { request } from 'undici'
import { z } from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlumstageError, describeError } from '@plumstage/common'
import type { CallContext } from '@plumstage/common'

/** What an engine is to have loaded. Orders state the whole condition, so that sending one again does no harm. */
export interface EngineState {
  adapter: string
}

/** An order was not carried out. */
export const EngineOrderError = PlumstageError.subclass('EngineOrderError', { props: { code: 'engine_order_failed' } })

/** Interface for orders to engines. */
export interface EngineOrders {
  readState (context: CallContext, address: string): Promise<Result<EngineState, Error>>
  /** Orders a condition; an engine that honours fencing refuses a number lower than one it has seen. */
  sendOrder (context: CallContext, address: string, condition: EngineState, fencingNumber: number): Promise<Result<void, Error>>
}

const engineStateSchema = z.object({ adapter: z.string() })

/** Sends orders as JSON over HTTP. */
export class HttpEngineOrders implements EngineOrders {
  static create (): HttpEngineOrders {
    return new HttpEngineOrders()
  }

  async readState (context: CallContext, address: string): Promise<Result<EngineState, Error>> {
    try {
      const response = await request(`http://${address}/orders`, { signal: context.signal })
      return ok(engineStateSchema.parse(await response.body.json()))
    } catch (error) {
      return err(new EngineOrderError(`The engine at ${address} did not tell its condition: ${describeError(error)}. It is asked again.`))
    }
  }

  async sendOrder (context: CallContext, address: string, condition: EngineState, fencingNumber: number): Promise<Result<void, Error>> {
    try {
      const response = await request(`http://${address}/orders`, { method: 'POST', signal: context.signal, headers: { 'content-type': 'application/json' }, body: JSON.stringify({ ...condition, fencingNumber }) })
      await response.body.dump()
      if (response.statusCode === 200) return ok(undefined)
      return err(new EngineOrderError(`The engine at ${address} refused the order with status ${response.statusCode}. The holder of the duty with the highest fencing number orders again.`))
    } catch (error) {
      return err(new EngineOrderError(`The engine at ${address} did not take the order: ${describeError(error)}. It is sent again.`))
    }
  }
}
