/**
 * Reads single records of any known schema version.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { RECORD_KINDS } from './model.js'
import type { ConfigurationRecord, RecordKind } from './model.js'
import { API_VERSION_V1, convertV1, recordSchemaV1 } from './schemaV1.js'
import { API_VERSION_V1BETA1, convertV1beta1, recordSchemaV1beta1 } from './schemaV1beta1.js'

/** One mistake in a record. */
export interface FieldProblem {
  /** Path of the field, for example `spec.upstreams.0.address`. */
  path: readonly PropertyKey[]
  message: string
}

/** A record that was read, in the form in which the operator wrote it and as the internal model. */
export interface ParsedRecord {
  record: ConfigurationRecord
  /** The revision that the operator last saw, when the record states it. */
  statedRevision?: number
}

interface SchemaVersion {
  apiVersion: string
  parse (document: unknown): Result<ConfigurationRecord, FieldProblem[]>
}

const SCHEMA_VERSIONS: readonly SchemaVersion[] = [
  { apiVersion: API_VERSION_V1, parse: document => toResult(recordSchemaV1.safeParse(document), convertV1) },
  { apiVersion: API_VERSION_V1BETA1, parse: document => toResult(recordSchemaV1beta1.safeParse(document), convertV1beta1) }
]

/** Reads one record from its plain form. */
export function parseRecord (document: unknown): Result<ParsedRecord, FieldProblem[]> {
  if (!isObject(document)) return err([{ path: [], message: 'is not a mapping; write apiVersion, kind, metadata and spec' }])
  const version = SCHEMA_VERSIONS.find(candidate => candidate.apiVersion === document.apiVersion)
  if (!version) return err([{ path: ['apiVersion'], message: `must be one of ${SCHEMA_VERSIONS.map(known => known.apiVersion).join(', ')}` }])
  if (!RECORD_KINDS.includes(document.kind as RecordKind)) return err([{ path: ['kind'], message: `must be one of ${RECORD_KINDS.join(', ')}` }])
  const metadata = isObject(document.metadata) ? document.metadata : {}
  const statedRevision = typeof metadata.revision === 'number' ? metadata.revision : undefined
  return version.parse(document).map(record => ({ record, statedRevision }))
}

/** Reads one record from the JSON text under which it is stored. */
export function parseStoredRecord (text: string): Result<ParsedRecord, FieldProblem[]> {
  try {
    return parseRecord(JSON.parse(text))
  } catch {
    return err([{ path: [], message: 'is not JSON; apply the record again from its file' }])
  }
}

interface ParseOutcome<Checked> {
  success: boolean
  data?: Checked
  error?: { issues: readonly { path: readonly PropertyKey[], message: string, code?: string, keys?: readonly string[] }[] }
}

function toResult<Checked> (outcome: ParseOutcome<Checked>, convert: (record: Checked) => ConfigurationRecord): Result<ConfigurationRecord, FieldProblem[]> {
  if (outcome.success) return ok(convert(outcome.data as Checked))
  return err((outcome.error?.issues ?? []).map(issue => {
    if (issue.code !== 'unrecognized_keys') return { path: issue.path, message: issue.message }
    return { path: [...issue.path, issue.keys?.[0] ?? ''], message: 'is not a known field; correct its name or remove it' }
  }))
}

function isObject (value: unknown): value is { [key: string]: unknown } {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
