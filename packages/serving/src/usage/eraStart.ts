/**
 * The entry of the store that says which usage windows can't have been reported before the current era of the store.
 *
 * @module
 */
import * as z from 'zod'
import { parseJson } from '@plumstage/common'

const schema = z.object({ era: z.int().min(0), firstWindow: z.int() })

/** The first usage window of an era: it has ended at no gateway before the era began. */
export interface EraStart {
  era: number
  firstWindow: number
}

export function encodeEraStart ({ era, firstWindow }: EraStart): string {
  return JSON.stringify({ era, firstWindow })
}

/** Returns undefined when the text is not such an entry. */
export function decodeEraStart (text: string | undefined): EraStart | undefined {
  return schema.safeParse(parseJson(text)).data
}
