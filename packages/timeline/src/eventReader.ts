/**
 * Reads events from JSON lines.
 *
 * @module
 */
import { z } from 'zod'
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

/** A line that is not an event, for example one that was cut off when its process died. */
export interface UnreadableLine {
  file: string
  line: number
}

/** What was read from one file. */
export interface ParsedEvents {
  events: ActionEvent[]
  unreadable: UnreadableLine[]
}

/** Reads the events of one file's text. */
export function parseEvents (file: string, text: string): ParsedEvents {
  const read: ParsedEvents = { events: [], unreadable: [] }
  text.split('\n').forEach((line, index) => {
    if (line.trim() === '') return
    const event = parseLine(line)
    if (event) read.events.push(event)
    else read.unreadable.push({ file, line: index + 1 })
  })
  return read
}

function parseLine (line: string): ActionEvent | undefined {
  try {
    const parsed = eventSchema.safeParse(JSON.parse(line))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
