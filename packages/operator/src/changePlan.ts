/**
 * Compares declared records with stored ones and plans the writes that make them equal.
 *
 * @module
 */
import type { KeyValueEntry } from '@plumstage/coordination'
import { formatTombstone, isTombstone } from '@plumstage/records'
import type { RecordDeclaration } from '@plumstage/records'

/** What happens to one record. */
export type PlannedChange =
  | { kind: 'create', key: string, value: string, revision: number }
  | { kind: 'update', key: string, value: string, previous: string, revision: number }
  | { kind: 'prune', key: string, value: string, previous: string, revision: number }

/** A record that someone has changed since its declaration was taken from the store. */
export interface StaleDeclaration {
  key: string
  statedRevision: number
  /** Revision of the stored record; 0 when there is none. */
  storedRevision: number
}

/** All writes of one apply. */
export interface ChangePlan {
  changes: PlannedChange[]
  unchanged: string[]
  stale: StaleDeclaration[]
}

/** Plans the writes. `keyOf` returns the key of a declaration. */
export function planChanges (declarations: readonly RecordDeclaration[], stored: readonly KeyValueEntry[], keyOf: (declaration: RecordDeclaration) => string, prune: boolean): ChangePlan {
  const storedByKey = new Map(stored.map(entry => [entry.key, entry]))
  const plan: ChangePlan = { changes: [], unchanged: [], stale: [] }
  const declaredKeys = new Set<string>()
  for (const declaration of declarations) {
    const key = keyOf(declaration)
    declaredKeys.add(key)
    planDeclaration(plan, key, declaration, storedByKey.get(key))
  }
  if (prune) for (const entry of stored) if (!declaredKeys.has(entry.key)) planPrune(plan, entry)
  return plan
}

function planDeclaration (plan: ChangePlan, key: string, declaration: RecordDeclaration, entry: KeyValueEntry | undefined): void {
  const storedRevision = entry?.modRevision ?? 0
  if (entry && entry.value === declaration.storedText) {
    plan.unchanged.push(key)
    return
  }
  if (declaration.statedRevision !== undefined && declaration.statedRevision !== storedRevision) {
    plan.stale.push({ key, statedRevision: declaration.statedRevision, storedRevision })
    return
  }
  if (!entry || isTombstone(entry.value)) plan.changes.push({ kind: 'create', key, value: declaration.storedText, revision: storedRevision })
  else plan.changes.push({ kind: 'update', key, value: declaration.storedText, previous: entry.value, revision: storedRevision })
}

function planPrune (plan: ChangePlan, entry: KeyValueEntry): void {
  if (isTombstone(entry.value)) return
  plan.changes.push({ kind: 'prune', key: entry.key, value: formatTombstone(), previous: entry.value, revision: entry.modRevision })
}
