/**
 * Keeps the entry of the store that names the software that may have begun streams, so that gateways that all start anew know it.
 * One gateway writes it, or the next ones if it fails to, under the condition that they have read the latest one.
 *
 * @module
 */
import * as z from 'zod'
import { getLogger, parseJson } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import { START_POSITION } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueEntry, KeyValueService, StorePosition } from '@plumstage/coordination'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import type { DeploymentDecoder } from '../deployment/deploymentDecoder.js'
import type { DeploymentView } from '../deployment/deploymentView.js'
import type { GatewayAddresses } from '../peers/gatewayAddresses.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { ServiceSoftware } from './software.js'
import type { SoftwareHistory, StoredHistory } from './softwareHistory.js'

const CHECK_MILLISECONDS = 1000
/** If the gateway that is to write the entry does not, the next ones try after this time each. */
const TAKE_OVER_MILLISECONDS = 1500
const CALL_TIMEOUT_MILLISECONDS = 1500

const entrySchema = z.object({
  software: z.array(z.string().min(1)),
  /** Era of the store in which the entry was written; absent in entries of earlier releases. */
  era: z.int().min(0).optional()
})

/** Dependencies of the task. */
export interface SoftwareHistoryTaskOptions {
  store: KeyValueService
  /** Key of the entry. */
  key: string
  history: SoftwareHistory
  view: DeploymentView
  decoder: Pick<DeploymentDecoder, 'classify' | 'decodeUpstream'>
  addresses: GatewayAddresses
  clock: Clock
  instrumentation: Instrumentation
}

/** Follows the entry, and writes it if this gateway is the one to do so. */
export class SoftwareHistoryTask implements StoreObserver {
  private readonly _options: SoftwareHistoryTaskOptions
  private readonly _log = getLogger('streams')
  /** Era of the store that was read last. */
  private _era = START_POSITION.era
  /** Revision of the entry that was read last; 0 when there is none. */
  private _revision = 0
  /** Since when the entry should be written; undefined when it need not be. */
  private _dueSince: Timestamp | undefined

  private constructor (options: SoftwareHistoryTaskOptions) {
    this._options = options
  }

  static create (options: SoftwareHistoryTaskOptions): SoftwareHistoryTask {
    return new SoftwareHistoryTask(options)
  }

  onSnapshot (entries: readonly KeyValueEntry[], { era }: StorePosition): void {
    this._era = era
    for (const entry of entries) this._observeUpstream(entry)
    this._apply(entries.find(entry => entry.key === this._options.key))
  }

  onChanges (changes: readonly KeyValueChange[]): void {
    for (const change of changes) {
      if (change.kind === 'put') this._observeUpstream(change.entry)
      if (change.kind === 'put' && change.entry.key === this._options.key) this._apply(change.entry)
      if (change.kind === 'delete' && change.key === this._options.key) this._apply(undefined)
    }
  }

  async run (context: CallContext): Promise<void> {
    const { clock, history, view } = this._options
    while (!context.cancelled) {
      const now = clock.now()
      history.observe(view.listUpstreams(), now)
      const software = history.planWrite(now)
      this._dueSince = software && (this._dueSince ?? now)
      if (software && this._mayWrite(now)) await this._write(context, software)
      await context.sleepUntil(clock.now() + CHECK_MILLISECONDS)
    }
  }

  private async _write (context: CallContext, software: readonly ServiceSoftware[]): Promise<void> {
    const { store, key, clock, instrumentation } = this._options
    const callContext = context.createChild(clock.now() + CALL_TIMEOUT_MILLISECONDS)
    const written = await store.transact(callContext, {
      conditions: [{ kind: 'mod-revision', key, revision: this._revision }],
      onSuccess: [{ kind: 'put', key, value: JSON.stringify({ software, era: this._era }) }],
      onFailure: []
    })
    callContext.finish()
    const result = written.isErr() ? 'unanswered' : written.value.succeeded ? 'written' : 'outdated'
    instrumentation.emit('software-history-written', { software: software.join(' '), result })
  }

  /** The revision of the last entry means nothing in another era of the store. */
  private _mayWrite (now: Timestamp): boolean {
    return this._era === this._options.store.era && now >= (this._dueSince ?? now) + this._rank * TAKE_OVER_MILLISECONDS
  }

  /**
   * Number of gateways that are to write the entry before this one. All agree on the order as far as they agree on the
   * registrations; the condition settles the rest.
   */
  private get _rank (): number {
    const { addresses, key } = this._options
    const weightOf = (address: string): number => rendezvousWeight(key, address)
    return addresses.list().filter(address => weightOf(address) > weightOf(addresses.self)).length
  }

  /** Also notes an upstream that is gone again within the same batch of changes. */
  private _observeUpstream ({ key, value }: KeyValueEntry): void {
    const { decoder, history, clock } = this._options
    const kind = decoder.classify(key)
    if (kind.kind !== 'upstream') return
    const listed = decoder.decodeUpstream(kind.id, value)
    if (listed.isOk()) history.observe([listed.value], clock.now())
  }

  private _apply (entry: KeyValueEntry | undefined): void {
    this._revision = entry?.modRevision ?? 0
    this._options.history.applyStored(entry ? this._parse(entry) : { kind: 'absent' })
  }

  private _parse ({ key, value }: KeyValueEntry): StoredHistory {
    const parsed = entrySchema.safeParse(parseJson(value))
    if (parsed.success) return { kind: parsed.data.era === this._era ? 'known' : 'outdated', software: parsed.data.software }
    this._log.error(`${key} can't be read. It is written again once this gateway has followed the list of upstreams for as long as a stream may be resumed.`)
    return { kind: 'unknown' }
  }
}
