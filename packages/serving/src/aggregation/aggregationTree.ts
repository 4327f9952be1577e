/**
 * The tree over which gateways sum their state. All gateways rank the members in the same order and derive the same tree
 * from it; those with more processor cores are nearer to the root.
 *
 * @module
 */
import { rendezvousWeight } from '../routing/rendezvousHash.js'

const RANKING_KEY = 'aggregation'
/** Two keep what a gateway sends bounded; more would make the tree lower. */
const CHILDREN = 2

/** A gateway of the tree. */
export interface TreeMember {
  address: string
  processorCores: number
}

/** The tree of one set of members. */
export class AggregationTree {
  private readonly _addresses: readonly string[]
  private readonly _positions: ReadonlyMap<string, number>

  private constructor (addresses: readonly string[]) {
    this._addresses = addresses
    this._positions = new Map(addresses.map((address, position) => [address, position]))
  }

  static create (members: readonly TreeMember[]): AggregationTree {
    const weighted = members.map(member => ({ ...member, weight: rendezvousWeight(RANKING_KEY, member.address) }))
    weighted.sort((left, right) => right.processorCores - left.processorCores || right.weight - left.weight)
    return new AggregationTree(weighted.map(({ address }) => address))
  }

  get size (): number {
    return this._addresses.length
  }

  /** Number of levels below the root. */
  get height (): number {
    return Math.floor(Math.log2(Math.max(1, this.size)))
  }

  /** Position in the ranking; after all others for a gateway that is not a member. */
  positionOf (address: string): number {
    return this._positions.get(address) ?? this.size
  }

  /** Returns the addresses directly below a member; none below a gateway that is not a member. */
  childrenOf (address: string): readonly string[] {
    const position = this._positions.get(address)
    if (position === undefined) return []
    return this._addresses.slice(CHILDREN * position + 1, CHILDREN * position + 1 + CHILDREN)
  }

  /**
   * Returns the addresses that a member asks when it acts as the root because those that rank before it are silent: its
   * children, and the other children of the gateways above it.
   */
  childrenOfActingRoot (address: string): readonly string[] {
    const children = [...this.childrenOf(address)]
    for (let position = this._positions.get(address) ?? 0; position > 0;) {
      const parent = Math.floor((position - 1) / CHILDREN)
      const below = this._addresses[position]
      children.push(...this.childrenOf(this._addresses[parent]).filter(sibling => sibling !== below))
      position = parent
    }
    return children
  }
}
