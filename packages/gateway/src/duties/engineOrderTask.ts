/**
 * The duty of bringing engines into the state that their Service record specifies.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { Configuration, ServiceRecord } from '@plumstage/records'
import type { Upstream } from '../upstreams/upstream.js'
import type { UpstreamTable } from '../upstreams/upstreamTable.js'
import type { DutyTask } from '@plumstage/coordination'
import type { EngineOrders } from './engineOrders.js'

const RECONCILE_INTERVAL_MILLISECONDS = 2000
const RECONCILE_TIMEOUT_MILLISECONDS = 1000

/** Dependencies of the task. */
export interface EngineOrderServices {
  clock: Clock
  instrumentation: Instrumentation
  duty: DutyTask
  orders: EngineOrders
  table: UpstreamTable
  configuration (): Configuration
}

/**
 * Periodically compares the state of each engine with its Service record, and sends an order if they differ. Acts only
 * while this gateway holds the duty.
 */
export class EngineOrderTask {
  private readonly _services: EngineOrderServices
  private readonly _log = getLogger('duties')

  private constructor (services: EngineOrderServices) {
    this._services = services
  }

  static create (services: EngineOrderServices): EngineOrderTask {
    return new EngineOrderTask(services)
  }

  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      if (this._services.duty.getHeldDuty()) await this._reconcileAll(context)
      await context.sleepUntil(this._services.clock.now() + RECONCILE_INTERVAL_MILLISECONDS)
    }
  }

  private async _reconcileAll (context: CallContext): Promise<void> {
    const reconciliations: Array<Promise<void>> = []
    for (const service of this._services.configuration().services.values()) {
      if (!service.orders) continue
      const live = this._services.table.listOfService(service.name).filter(upstream => upstream.state === 'live')
      reconciliations.push(...live.map(async upstream => await this._reconcile(context, service, upstream)))
    }
    await Promise.all(reconciliations)
  }

  private async _reconcile (context: CallContext, service: ServiceRecord, upstream: Upstream): Promise<void> {
    const { clock, duty, orders, instrumentation } = this._services
    const reconcileContext = context.createChild(clock.now() + RECONCILE_TIMEOUT_MILLISECONDS)
    const state = await orders.readState(reconcileContext, upstream.address)
    // The configuration and the duty may have changed while the state was read.
    const desired = this._services.configuration().services.get(service.name)?.orders
    const call = duty.beginCall(reconcileContext, RECONCILE_TIMEOUT_MILLISECONDS)
    if (state.isOk() && desired && call && state.value.adapter !== desired.adapter) {
      instrumentation.emit('order-sent', { upstream: upstream.address, adapter: desired.adapter, fencingNumber: call.fencingNumber })
      const result = await orders.sendOrder(call.context, upstream.address, desired, call.fencingNumber)
      if (result.isErr()) this._log.warn(result.error.message)
    }
    call?.context.finish()
    reconcileContext.finish()
  }
}
