/**
 * Edits of stored records that commands make.
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

/** Returns a Service record that names the upstream as drained, or no longer does. */
export function drainUpstream (storedText: string, upstream: string, undo: boolean): Result<string, Error> {
  const document = JSON.parse(storedText) as StoredService
  if (document.apiVersion !== API_VERSION_V1) return err(new UsageError(`The record is written in ${document.apiVersion}, which can't name drained upstreams. Apply it in ${API_VERSION_V1} first.`))
  const drained = new Set(document.spec.drainedUpstreams ?? [])
  if (drained.has(upstream) !== undo) return ok(storedText)
  if (undo) drained.delete(upstream)
  else drained.add(upstream)
  const edited = JSON.stringify({ ...document, spec: { ...document.spec, drainedUpstreams: [...drained] } })
  const checked = parseStoredRecord(edited)
  if (checked.isErr()) return err(new UsageError(`The address ${upstream} can't be drained: ${checked.error.map(problem => problem.message).join('; ')}.`))
  return ok(edited)
}
