/**
 * The text of a prompt as engines see it, and the digests of its prefix blocks.
 *
 * @module
 */
import xxhash from 'xxhash-wasm'

/** Characters that count as one token where no tokenizer is at hand. */
export const CHARACTERS_PER_TOKEN = 4

/** Tokens in one block of an engine's prefix cache. */
export const TOKENS_PER_BLOCK = 64

const CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK

const { h64, h32 } = await xxhash()

/** A message of a chat. */
export interface ChatMessage {
  role?: unknown
  content?: unknown
}

/** Returns the text that an engine prefills for a chat. */
export function renderChat (messages: readonly ChatMessage[]): string {
  let text = ''
  for (const message of messages) text += `<${renderField(message.role)}>${renderField(message.content)}`
  return text
}

function renderField (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value ?? '')
}

/** Returns the approximate number of tokens of a text. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

/** Returns a 32-bit digest of a text. */
export function digestText32 (text: string): number {
  return h32(text)
}

/** Returns the digest of each whole block of the text, each covering all text before it too. */
export function digestPrefixBlocks (text: string): string[] {
  const digests: string[] = []
  let seed = 0n
  for (let end = CHARACTERS_PER_BLOCK; end <= text.length; end += CHARACTERS_PER_BLOCK) {
    seed = h64(text.slice(end - CHARACTERS_PER_BLOCK, end), seed)
    digests.push(seed.toString(16))
  }
  return digests
}
