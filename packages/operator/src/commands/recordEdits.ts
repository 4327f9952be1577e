/**
 * Edits that commands make to stored records.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { API_VERSION_V1, parseStoredRecord } from '@plumstage/records'
import { UsageError } from '../operatorErrors.js'

interface StoredService {
  apiVersion: string
  spec: { drainedUpstreams?: string[] }
}

/** Adds the upstream to the drained upstreams of a Service record, or removes it if `undo` is set. */
export function drainUpstream (storedText: string, upstream: string, undo: boolean): Result<string, Error> {
  const document = JSON.parse(storedText) as StoredService
  if (document.apiVersion !== API_VERSION_V1) return err(new UsageError(`The record uses ${document.apiVersion}, which doesn't support drained upstreams. Apply it as ${API_VERSION_V1} first.`))
  const drained = new Set(document.spec.drainedUpstreams ?? [])
  if (drained.has(upstream) !== undo) return ok(storedText)
  if (undo) drained.delete(upstream)
  else drained.add(upstream)
  const edited = JSON.stringify({ ...document, spec: { ...document.spec, drainedUpstreams: [...drained] } })
  const checked = parseStoredRecord(edited)
  if (checked.isErr()) return err(new UsageError(`The address ${upstream} can't be drained: ${checked.error.map(problem => problem.message).join('; ')}.`))
  return ok(edited)
}
