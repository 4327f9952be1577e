/**
 * Seeded random numbers, so that decisions are reproducible.
 *
 * @module
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const FRACTION_STEPS = 0x7fffffff

/** A reproducible stream of random numbers. */
export class SeededRandom {
  private readonly _generator: RandomGenerator

  private constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  static create (seed: number): SeededRandom {
    return new SeededRandom(seed)
  }

  /** Returns an integer from `minimum` to `maximum`, both inclusive. */
  nextInteger (minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this._generator)
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFraction (): number {
    return this.nextInteger(0, FRACTION_STEPS - 1) / FRACTION_STEPS
  }

  /** Returns a random element of `items`, or undefined if there is none. */
  pick<Item> (items: readonly Item[]): Item | undefined {
    if (items.length === 0) return undefined
    return items[this.nextInteger(0, items.length - 1)]
  }
}
