/**
 * Chooses the gateways that keep the record of a stream, and those to ask for it, by consistent hashing: any gateway
 * finds them by the key of the stream alone, and few records change their place when gateways come or go.
 *
 * @module
 */
import { MAXIMUM_MESH_GATEWAYS } from '../peers/reportInterval.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { StreamKey } from './streamOrigins.js'

/** In a small deployment, a third of the gateways may be lost at once. */
const MESH_REPLICAS = 3
const REPLICAS = 2
/** More gateways are asked than keep a record, because gateways may have come or gone since it was made. */
const MAXIMUM_ASKED_GATEWAYS = 16
/** Points of each gateway on the ring, which spread the records evenly. */
const POINTS_PER_GATEWAY = 16

interface RingPoint {
  position: number
  address: string
}

/** The gateways of a deployment on a hash ring. */
export class OriginReplicas {
  private readonly _self: string
  private readonly _gateways: number
  /** Ordered by position. */
  private readonly _points: readonly RingPoint[]

  private constructor (addresses: readonly string[], self: string) {
    this._self = self
    this._gateways = addresses.length
    this._points = addresses.flatMap(createPoints).sort((left, right) => left.position - right.position)
  }

  /** `addresses` are those of all gateways, `self` included. */
  static create (addresses: readonly string[], self: string): OriginReplicas {
    return new OriginReplicas(addresses, self)
  }

  /** Returns the addresses of the gateways that keep the record of a stream, beside this one. */
  chooseReplicas (key: StreamKey): string[] {
    return this._listOthers(key, this._gateways <= MAXIMUM_MESH_GATEWAYS ? MESH_REPLICAS : REPLICAS)
  }

  /** Returns the addresses of the gateways to ask for the record of a stream: in a small deployment all others. */
  chooseAskedGateways (key: StreamKey): string[] {
    return this._listOthers(key, MAXIMUM_ASKED_GATEWAYS)
  }

  /** Returns the next `count` gateways on the ring after the key. */
  private _listOthers (key: StreamKey, count: number): string[] {
    const chosen = new Set<string>()
    const start = this._findStart(rendezvousWeight(key, ''))
    for (let step = 0; step < this._points.length && chosen.size < count; step++) {
      const { address } = this._points[(start + step) % this._points.length]
      if (address !== this._self) chosen.add(address)
    }
    return [...chosen]
  }

  /** Index of the first point at or after a position. */
  private _findStart (position: number): number {
    let low = 0
    let high = this._points.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this._points[middle].position < position) low = middle + 1
      else high = middle
    }
    return low
  }
}

function createPoints (address: string): RingPoint[] {
  return Array.from({ length: POINTS_PER_GATEWAY }, (_, index) => ({ position: rendezvousWeight(address, `#${index}`), address }))
}
