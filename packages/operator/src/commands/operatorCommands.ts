/**
 * The commands of `plumstage`. Each returns the output to print, or an error with an exit code.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { stringify } from 'yaml'
import type { Clock } from '@plumstage/common'
import { digestToken, formatProblem, isTombstone, parseStoredRecord, validateRecordSet } from '@plumstage/records'
import type { ConfigurationRecord, RecordDeclaration } from '@plumstage/records'
import type { KeyValueEntry } from '@plumstage/coordination'
import { planChanges } from '../changePlan.js'
import type { ChangePlan, PlannedChange } from '../changePlan.js'
import { waitUntilInForce } from '../inForceWaiter.js'
import type { RouteQuery, GatewayClient } from '../gatewayClient.js'
import { ConflictError, InvalidRecordsError, UsageError } from '../operatorErrors.js'
import { formatTable } from '../output.js'
import type { CommandOutput } from '../output.js'
import { readRecordFiles } from '../recordFiles.js'
import type { RecordStore } from '../recordStore.js'
import { formatDifference } from './recordDifference.js'
import { drainUpstream } from './recordEdits.js'

const TOKEN_BYTES = 24

/** Dependencies of the commands. */
export interface CommandServices {
  clock: Clock
  store: RecordStore
  gateway: GatewayClient
}

/** Options of commands that write records. */
export interface ApplyOptions {
  prune: boolean
  wait: boolean
  waitSeconds: number
}

export type CommandResult = Promise<Result<CommandOutput, Error>>

/** Validates record files without the stored records. */
export async function validate (paths: readonly string[]): CommandResult {
  const declarations = await readValidDeclarations(paths, [])
  return declarations.map(valid => ({ text: `${valid.length} records are valid.`, json: { valid: valid.length } }))
}

/** Shows what `apply` would change. */
export async function diff (services: CommandServices, paths: readonly string[], prune: boolean): CommandResult {
  const plan = await planApply(services.store, paths, prune)
  return plan.map(({ changes, unchanged }) => ({
    text: [...changes.map(change => formatDifference(services.store.labelOf(change.key), change)), `${changes.length} records would change, ${unchanged.length} are unchanged.`].join('\n'),
    json: { changes: changes.map(change => ({ kind: change.kind, record: services.store.labelOf(change.key) })), unchanged: unchanged.map(key => services.store.labelOf(key)) }
  }))
}

/** Writes the records and optionally waits until they are in force on all live gateways. */
export async function apply (services: CommandServices, paths: readonly string[], options: ApplyOptions): CommandResult {
  const plan = await planApply(services.store, paths, options.prune)
  if (plan.isErr()) return err(plan.error)
  if (plan.value.changes.length === 0) return ok({ text: 'Nothing to change.', json: { changes: [] } })
  return await writeChanges(services, plan.value.changes, options)
}

/** Prints stored records as YAML with their revisions, so that `apply` detects concurrent changes. */
export async function get (services: CommandServices, selector: string | undefined): CommandResult {
  const snapshot = await services.store.read()
  if (snapshot.isErr()) return err(snapshot.error)
  const entries = snapshot.value.entries.filter(entry => !isTombstone(entry.value) && matchesSelector(services.store.labelOf(entry.key), selector))
  if (entries.length === 0 && selector !== undefined) return err(new UsageError(`No record matches ${selector}. Name a kind, or a kind and a name as in Route/summaries.`))
  const documents = entries.map(addRevision)
  return ok({ text: documents.map(document => stringify(document)).join('---\n').trimEnd(), json: { records: documents } })
}

/** Shows the status of a gateway, with all gateways and upstreams that it lists. */
export async function status (services: CommandServices): CommandResult {
  const result = await services.gateway.readStatus()
  return result.map(view => {
    const members = [{ member: view.self, suspect: false }, ...view.members]
    const memberRows = members.map(({ member, suspect }) => [member.name, member.address, member.failureDomain, suspect ? 'suspect' : member.state, String(member.configurationRevision)])
    const upstreamRows = view.upstreams.map(upstream => [upstream.service, upstream.address, upstream.failureDomain, upstream.drained ? 'drained' : upstream.state, String(upstream.estimatedLoad)])
    const text = [
      formatTable([['GATEWAY', 'PEER ADDRESS', 'FAILURE DOMAIN', 'STATE', 'REVISION'], ...memberRows]),
      '',
      formatTable([['SERVICE', 'UPSTREAM', 'FAILURE DOMAIN', 'STATE', 'LOAD'], ...upstreamRows]),
      '',
      `Key-value service: ${view.keyValueService.health}. ${view.keyValueService.problem ?? ''}`.trim(),
      ...view.unreadableRecords.map(record => `The record ${record.key} at revision ${record.revision} can't be read: ${record.problem}. Apply a corrected version.`),
      `Requests: ${view.requests.inFlight} in flight, ${view.requests.waiting} waiting, ${view.requests.running} running.`
    ].join('\n')
    return { text, json: view }
  })
}

/** Shows where a request would go now, and why. */
export async function explain (services: CommandServices, query: RouteQuery): CommandResult {
  if (query.model === undefined && query.path === undefined) return err(new UsageError('The request to explain is missing. Use --model MODEL, or --method METHOD --path PATH.'))
  const result = await services.gateway.explain(query)
  return result.map(explanation => {
    const rows = explanation.candidates.map(({ address, failureDomain, excluded, score }) => [address, failureDomain, excluded ?? '', ...[score.total, score.wait, score.prefill, score.distance, score.price, score.recomputation].map(seconds => seconds.toFixed(4))])
    const table = formatTable([['UPSTREAM', 'FAILURE DOMAIN', 'EXCLUDED', 'SCORE', 'WAIT', 'PREFILL', 'DISTANCE', 'PRICE', 'RECOMPUTATION'], ...rows])
    return { text: `${explanation.summary}\n${table}`, json: explanation }
  })
}

/** Stops new requests to an upstream, or allows them again if `undo` is set. */
export async function drain (services: CommandServices, service: string, upstream: string, undo: boolean, options: ApplyOptions): CommandResult {
  const snapshot = await services.store.read()
  if (snapshot.isErr()) return err(snapshot.error)
  const key = services.store.keyOf('Service', service)
  const entry = snapshot.value.entries.find(candidate => candidate.key === key)
  if (!entry || isTombstone(entry.value)) return err(new UsageError(`There is no Service ${service}. \`plumstage get Service\` lists them.`))
  const edited = drainUpstream(entry.value, upstream, undo)
  if (edited.isErr()) return err(edited.error)
  if (edited.value === entry.value) return ok({ text: 'Nothing to change.', json: { changes: [] } })
  return await writeChanges(services, [{ kind: 'update', key, value: edited.value, previous: entry.value, revision: entry.modRevision }], options)
}

/** Creates a random bearer token and its digest. */
export function createToken (): CommandOutput {
  const token = randomBytes(TOKEN_BYTES).toString('base64url')
  const digest = digestToken(token)
  return { text: `Token for the caller: ${token}\nDigest for the Workspace record: ${digest}`, json: { token, digest } }
}

async function planApply (store: RecordStore, paths: readonly string[], prune: boolean): Promise<Result<ChangePlan, Error>> {
  const snapshot = await store.read()
  if (snapshot.isErr()) return err(snapshot.error)
  const retainedEntries = prune ? [] : snapshot.value.entries
  const declarations = await readValidDeclarations(paths, retainedEntries, declaration => store.keyOf(declaration.record.kind, declaration.record.name))
  if (declarations.isErr()) return err(declarations.error)
  const plan = planChanges(declarations.value, snapshot.value.entries, declaration => store.keyOf(declaration.record.kind, declaration.record.name), prune)
  if (plan.stale.length === 0) return ok(plan)
  const lines = plan.stale.map(stale => `  - ${store.labelOf(stale.key)}: the file states revision ${stale.statedRevision}, the stored revision is ${stale.storedRevision}`)
  return err(new ConflictError(`Nothing was changed: these records have changed since they were read. Read them again with \`plumstage get\`, repeat the edit and apply.\n${lines.join('\n')}`))
}

async function readValidDeclarations (paths: readonly string[], stored: readonly KeyValueEntry[], keyOf: (declaration: RecordDeclaration) => string = () => ''): Promise<Result<RecordDeclaration[], Error>> {
  const content = await readRecordFiles(paths)
  if (content.isErr()) return err(content.error)
  const { declarations, problems } = content.value
  const declaredKeys = new Set(declarations.map(keyOf))
  const undeclared = stored.filter(entry => !declaredKeys.has(entry.key)).map(entry => parseEntry(entry)).filter((record): record is ConfigurationRecord => record !== undefined)
  const allProblems = problems.length > 0 ? problems : validateRecordSet(declarations, undeclared)
  if (allProblems.length > 0) return err(new InvalidRecordsError(`These records are not valid:\n${allProblems.map(formatProblem).join('\n')}`))
  return ok(declarations)
}

async function writeChanges (services: CommandServices, changes: readonly PlannedChange[], options: ApplyOptions): CommandResult {
  const written = await services.store.write(changes)
  if (written.isErr()) return err(written.error)
  const revision = written.value
  const accepted = `Accepted at revision ${revision}: ${changes.map(change => `${change.kind} ${services.store.labelOf(change.key)}`).join(', ')}.`
  const json = { revision, changes: changes.map(change => ({ kind: change.kind, record: services.store.labelOf(change.key) })) }
  if (!options.wait) return ok({ text: accepted, json })
  const waited = await waitUntilInForce(services.gateway, services.clock, revision, services.clock.now() + options.waitSeconds * 1000)
  return waited.map(report => ({ text: `${accepted}\nIn force on ${report.gateways.join(', ')} after ${report.seconds.toFixed(2)} s.`, json: { ...json, inForce: report } }))
}

function parseEntry (entry: KeyValueEntry): ConfigurationRecord | undefined {
  if (isTombstone(entry.value)) return undefined
  const result = parseStoredRecord(entry.value)
  return result.isOk() ? result.value.record : undefined
}

function matchesSelector (label: string, selector: string | undefined): boolean {
  return selector === undefined || label === selector || label.startsWith(`${selector}/`)
}

function addRevision (entry: KeyValueEntry): object {
  const document = JSON.parse(entry.value) as { metadata?: object }
  return { ...document, metadata: { ...document.metadata, revision: entry.modRevision } }
}
