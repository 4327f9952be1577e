/**
 * Parses events from JSON lines.
 *
 * @module
 */
import * as z from 'zod'
import type { ActionEvent } from '@plumstage/common'

const eventSchema = z.object({
  process: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  time: z.number(),
  kind: z.string(),
  request: z.string().optional(),
  attempt: z.string().optional(),
  attributes: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional()
})

/** A line that is not a valid event, for example one that was truncated when its process crashed. */
export interface UnreadableLine {
  file: string
  /** Line in the file, starting at 1. */
  line: number
}

/** Events and unreadable lines of one file. */
export interface ParsedEvents {
  events: ActionEvent[]
  unreadable: UnreadableLine[]
}

/** Parses the text of an event log; `file` is only used to report unreadable lines. */
export function parseEvents (file: string, text: string): ParsedEvents {
  const parsed: ParsedEvents = { events: [], unreadable: [] }
  text.split('\n').forEach((line, index) => {
    if (line.trim() === '') return
    const event = parseLine(line)
    if (event) parsed.events.push(event)
    else parsed.unreadable.push({ file, line: index + 1 })
  })
  return parsed
}

function parseLine (line: string): ActionEvent | undefined {
  try {
    const parsed = eventSchema.safeParse(JSON.parse(line))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
