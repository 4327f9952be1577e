/**
 * Reads YAML files with configuration records and names the place of every mistake.
 *
 * @module
 */
import { LineCounter, parseAllDocuments } from 'yaml'
import type { Document } from 'yaml'
import type { ConfigurationRecord } from './model.js'
import { parseRecord } from './recordReader.js'

/** One mistake in a file. */
export interface RecordProblem {
  file: string
  /** Line in the file, from 1. */
  line: number
  /** Path of the field, for example `spec.service`; empty for the whole document. */
  field: string
  /** What is wrong and what to do about it. */
  message: string
}

/** A record as it stands in a file. */
export interface RecordDeclaration {
  file: string
  line: number
  record: ConfigurationRecord
  statedRevision?: number
  /** The record as JSON text in the operator's own schema version, without the stated revision. */
  storedText: string
}

/** Everything that was found in one file. */
export interface RecordFileContent {
  declarations: RecordDeclaration[]
  problems: RecordProblem[]
}

/** Formats a mistake as `file:line: field message`. */
export function formatProblem (problem: RecordProblem): string {
  const field = problem.field === '' ? 'the record' : problem.field
  return `${problem.file}:${problem.line}: ${field} ${problem.message}`
}

/** Reads all records of one YAML text. */
export function parseRecordFile (file: string, text: string): RecordFileContent {
  const lineCounter = new LineCounter()
  const content: RecordFileContent = { declarations: [], problems: [] }
  for (const document of parseAllDocuments(text, { lineCounter })) parseDocument(file, document as Document, lineCounter, content)
  return content
}

function parseDocument (file: string, document: Document, lineCounter: LineCounter, content: RecordFileContent): void {
  if (document.errors.length > 0) {
    for (const error of document.errors) content.problems.push({ file, line: lineCounter.linePos(error.pos[0]).line, field: '', message: `is not valid YAML: ${error.message.split('\n')[0]}` })
    return
  }
  const plain: unknown = document.toJS()
  if (plain === null || plain === undefined) return
  const result = parseRecord(plain)
  if (result.isErr()) {
    for (const problem of result.error) content.problems.push({ file, line: findLine(document, lineCounter, problem.path), field: problem.path.map(String).join('.'), message: problem.message })
    return
  }
  const { record, statedRevision } = result.value
  content.declarations.push({ file, line: findLine(document, lineCounter, []), record, statedRevision, storedText: toStoredText(plain) })
}

/** Returns the line of the field, or of the nearest field around it that exists. */
function findLine (document: Document, lineCounter: LineCounter, path: readonly PropertyKey[]): number {
  for (let length = path.length; length >= 0; length--) {
    const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true)
    const range = (node as { range?: [number, number, number] } | undefined)?.range
    if (range) return lineCounter.linePos(range[0]).line
  }
  return 1
}

function toStoredText (plain: unknown): string {
  return JSON.stringify(plain, (key, value: unknown) => key === 'revision' ? undefined : value)
}
