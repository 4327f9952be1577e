/**
 * The answers of the engine stand-in: each token follows from the prompt and its position alone, so that an answer
 * spliced from several engines can be checked.
 *
 * @module
 */
import { digestText32 } from '@plumstage/common/promptBlocks'

const WORDS = ['ledger', 'press', 'lacquer', 'sleeve', 'notary', 'summary', 'page', 'clerk', 'quote', 'plate', 'stamp', 'label', 'volume', 'record', 'groove', 'archive']
const POSITION_MULTIPLIER = 2654435761
const MIX_SHIFT = 15

/** Generates the answer to one prompt. */
export class TokenSource {
  private readonly _digest: number

  private constructor (digest: number) {
    this._digest = digest
  }

  static create (prompt: string): TokenSource {
    return new TokenSource(digestText32(prompt))
  }

  /** Returns the token at `position`, counted from 1, with the space before it. */
  tokenAt (position: number): string {
    const mixed = Math.imul(this._digest ^ position, POSITION_MULTIPLIER) >>> 0
    return ' ' + WORDS[((mixed ^ (mixed >>> MIX_SHIFT)) >>> 0) % WORDS.length]
  }

  /** Returns the tokens from 1 to `position` as one text. */
  textUpTo (position: number): string {
    let text = ''
    for (let index = 1; index <= position; index++) text += this.tokenAt(index)
    return text
  }
}
