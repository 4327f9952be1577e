/**
 * Polls the instance list.
 *
 * @module
 */
import { CallContext, getLogger } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import type { Instance, InstanceList } from '@plumstage/coordination'

const POLL_MILLISECONDS = 500
const CALL_TIMEOUT_MILLISECONDS = 2000

/** Polls the instance list and passes each result on. The last result stays in effect while the list can't be read. */
export class InstanceListTask {
  private readonly _list: InstanceList
  private readonly _clock: Clock
  private readonly _onInstances: (instances: readonly Instance[]) => void
  private readonly _log = getLogger('upstreams')
  private _failing = false

  private constructor (list: InstanceList, clock: Clock, onInstances: (instances: readonly Instance[]) => void) {
    this._list = list
    this._clock = clock
    this._onInstances = onInstances
  }

  static create (list: InstanceList, clock: Clock, onInstances: (instances: readonly Instance[]) => void): InstanceListTask {
    return new InstanceListTask(list, clock, onInstances)
  }

  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      await this._poll(context)
      await context.sleepUntil(this._clock.now() + POLL_MILLISECONDS)
    }
  }

  private async _poll (context: CallContext): Promise<void> {
    const callContext = context.createChild(this._clock.now() + CALL_TIMEOUT_MILLISECONDS)
    const result = await this._list.list(callContext)
    callContext.finish()
    if (result.isOk()) this._onInstances(result.value)
    else if (!this._failing) this._log.warn(`${result.error.message} Continuing with the last known upstreams.`)
    this._failing = result.isErr()
  }
}
