/**
 * Which software may have begun a stream that a caller resumes now. While that is a single one, a stream needs no record
 * of its beginning; so callers can also resume after all gateways were killed at once.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'
import { UNSTATED, serviceSoftwareOf } from './software.js'
import type { ServiceSoftware, SoftwareId } from './software.js'
import { MAXIMUM_STREAM_LIFETIME_MILLISECONDS } from './streamLifetime.js'

/** Of one service; the latest are kept. Whether there are several is all that matters. */
const MAXIMUM_SOFTWARE_OF_SERVICE = 8
/** Of all services, so that the store's entry stays readable. With more of it, a gateway does not know all that may have begun streams. */
const MAXIMUM_SOFTWARE = 600

/** What the store says about the software that may have begun streams. */
export type StoredHistory =
  /** The store has not been read yet, or its entry can't be read. */
  | { kind: 'unknown' }
  | { kind: 'absent' }
  | { kind: 'known', software: readonly ServiceSoftware[] }
  /** The entry is of an earlier era of the store. A later one, with further software, may be lost. */
  | { kind: 'outdated', software: readonly ServiceSoftware[] }

/** The software that one gateway has seen in the list of upstreams, or read of in the store. */
export class SoftwareHistory {
  private readonly _observedSince: Timestamp
  /** Whether the system as a whole started with this gateway, so that no stream can be older. */
  private readonly _isFirstStart: boolean
  private readonly _lastListedAt = new Map<ServiceSoftware, Timestamp>()
  private _stored: StoredHistory = { kind: 'unknown' }
  /** Whether the store has ever named all software of the time before this gateway started. */
  private _isComplete = false
  /** Software that the store names, with the time when it was named there first. */
  private readonly _inheritedAt = new Map<ServiceSoftware, Timestamp>()
  private _lastObservedAt: Timestamp
  /** When there was last no room for software that was listed. */
  private _overflowedAt: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (now: Timestamp, isFirstStart: boolean) {
    this._observedSince = now
    this._lastObservedAt = now
    this._isFirstStart = isFirstStart
  }

  static create (now: Timestamp, isFirstStart: boolean): SoftwareHistory {
    return new SoftwareHistory(now, isFirstStart)
  }

  /** Applies the list of upstreams. */
  observe (listed: readonly ListedUpstream[], now: Timestamp): void {
    this._lastObservedAt = now
    for (const upstream of listed) this._recordListed(upstream.service, serviceSoftwareOf(upstream), now)
  }

  /** Applies the entry of the store. What an earlier entry named stays known, since the store may come back from a copy. */
  applyStored (stored: StoredHistory): void {
    const before = namedBy(this._stored)
    for (const software of namedBy(stored)) if (!before.includes(software)) this._recordInherited(software)
    this._stored = stored
    this._isComplete ||= stored.kind === 'known' || (stored.kind === 'absent' && this._isFirstStart)
  }

  /** Returns the only software that may have begun a stream of a service; undefined if there are several or it is not known. */
  onlySoftwareOf (service: string, now: Timestamp): SoftwareId | undefined {
    if (!this._knowsAll(now)) return undefined
    const prefix = `${service}@`
    const possible = [...this._list(now)].filter(entry => entry.startsWith(prefix)).map(entry => entry.slice(prefix.length))
    return possible.length === 1 && possible[0] !== UNSTATED ? possible[0] : undefined
  }

  /** Whether more than one software may have begun the streams of a service that go on or may be resumed. */
  hasSeveral (service: string, now: Timestamp): boolean {
    const prefix = `${service}@`
    return [...this._list(now)].filter(entry => entry.startsWith(prefix)).length > 1
  }

  /** Returns what the entry of the store should name; undefined if it already does, or if this gateway does not know. */
  planWrite (now: Timestamp): ServiceSoftware[] | undefined {
    if (!this._knowsAll(now)) return undefined
    const wanted = [...this._list(now)].sort()
    const { _stored: stored } = this
    if (stored.kind === 'known' && stored.software.length === wanted.length && wanted.every((software, index) => software === stored.software[index])) return undefined
    return wanted
  }

  private _recordInherited (software: ServiceSoftware): void {
    const now = this._lastObservedAt
    if (!this._inheritedAt.delete(software)) deleteOutdated(this._inheritedAt, now)
    if (this._inheritedAt.size < MAXIMUM_SOFTWARE) this._inheritedAt.set(software, now)
    else this._overflowedAt = now
  }

  /** The latest stand last, so that those that make room for others are found first. */
  private _recordListed (service: string, software: ServiceSoftware, now: Timestamp): void {
    if (!this._lastListedAt.delete(software)) this._makeRoom(service, now)
    if (this._lastListedAt.size < MAXIMUM_SOFTWARE) this._lastListedAt.set(software, now)
    else this._overflowedAt = now
  }

  private _makeRoom (service: string, now: Timestamp): void {
    deleteOutdated(this._lastListedAt, now)
    const ofService = [...this._lastListedAt.keys()].filter(software => software.startsWith(`${service}@`))
    if (ofService.length >= MAXIMUM_SOFTWARE_OF_SERVICE) this._lastListedAt.delete(ofService[0])
  }

  private _knowsAll (now: Timestamp): boolean {
    if (now < this._overflowedAt + MAXIMUM_STREAM_LIFETIME_MILLISECONDS) return false
    return this._isComplete || now >= this._observedSince + MAXIMUM_STREAM_LIFETIME_MILLISECONDS
  }

  private _list (now: Timestamp): Set<ServiceSoftware> {
    const known = [...this._lastListedAt, ...this._inheritedAt]
    return new Set(known.filter(([, knownAt]) => knownAt > now - MAXIMUM_STREAM_LIFETIME_MILLISECONDS).map(([software]) => software))
  }
}

/** Deletes what can't have begun any stream that goes on; the map is in the order of its times. */
function deleteOutdated (knownAt: Map<ServiceSoftware, Timestamp>, now: Timestamp): void {
  for (const [software, at] of knownAt) {
    if (at > now - MAXIMUM_STREAM_LIFETIME_MILLISECONDS) return
    knownAt.delete(software)
  }
}

function namedBy (stored: StoredHistory): readonly ServiceSoftware[] {
  return stored.kind === 'known' || stored.kind === 'outdated' ? stored.software : []
}
