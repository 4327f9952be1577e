/**
 * Selects what a gateway keeps of the entries and changes of the store: of the configuration everything, of upstreams what names
 * them, of its peers' entries what they wrote, and of other writers' entries nothing.
 *
 * @module
 */
import { EntryBudget } from '@plumstage/coordination'
import type { EntrySelection, UnreadValue } from '@plumstage/coordination'
import type { StoreKeys } from '../storeKeys.js'
import type { DeploymentDecoder } from './deploymentDecoder.js'
import { shortenUpstreamValue } from './upstreamValue.js'

/** Longer values of upstreams name none; sound ones have some hundred bytes. */
const MAXIMUM_UPSTREAM_BYTES = 128 * 1024
/** Longer values are none of a gateway, nor an order for a roll-out. The longest are the usage counts of many workspaces. */
const MAXIMUM_OTHER_BYTES = 256 * 1024
/** Some 20,000 entries of upstreams; a few lists of this size, and what is made of them, fit into the heap. */
const MAXIMUM_KEPT_BYTES = 12 * 1024 * 1024
/** A value that is not kept; it decodes to nothing. */
const NO_VALUE = ''

/** The selection of one list, or of one batch of changes. */
export class DeploymentSelection implements EntrySelection {
  private readonly _decoder: DeploymentDecoder
  private readonly _keys: StoreKeys
  private readonly _budget = EntryBudget.create(MAXIMUM_KEPT_BYTES)

  private constructor (decoder: DeploymentDecoder, keys: StoreKeys) {
    this._decoder = decoder
    this._keys = keys
  }

  static create (decoder: DeploymentDecoder, keys: StoreKeys): DeploymentSelection {
    return new DeploymentSelection(decoder, keys)
  }

  includes (key: string): boolean {
    return this._decoder.classify(key).kind !== 'other' || this._decoder.isRolloutOrder(key) || this._keys.isFollowed(key)
  }

  select (key: string, value: UnreadValue): string | undefined {
    const classified = this._decoder.classify(key)
    if (classified.kind === 'configuration') return value.read()
    const kept = classified.kind === 'upstream' ? this._selectUpstream(classified.id, value) : selectOther(value)
    return this._budget.tryTake(key, kept) ? kept : undefined
  }

  private _selectUpstream (id: string, value: UnreadValue): string {
    return value.length > MAXIMUM_UPSTREAM_BYTES ? NO_VALUE : shortenUpstreamValue(this._decoder, id, value.read())
  }
}

function selectOther (value: UnreadValue): string {
  return value.length > MAXIMUM_OTHER_BYTES ? NO_VALUE : value.read()
}
