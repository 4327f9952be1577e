/**
 * Compares declared records with stored ones and plans the writes that bring the store up to date.
 *
 * @module
 */
import type { KeyValueEntry } from '@plumstage/coordination'
import { formatTombstone, isTombstone } from '@plumstage/records'
import type { RecordDeclaration } from '@plumstage/records'

/** A write of one record. */
export type PlannedChange =
  | { kind: 'create', key: string, value: string, revision: number }
  | { kind: 'update', key: string, value: string, previous: string, revision: number }
  | { kind: 'prune', key: string, value: string, previous: string, revision: number }

/** A declaration that was edited from a revision that is no longer the stored one. */
export interface StaleDeclaration {
  key: string
  statedRevision: number
  /** Revision of the stored record; 0 if there is none. */
  storedRevision: number
}

/** The result of comparing declarations with the store. */
export interface ChangePlan {
  changes: PlannedChange[]
  /** Keys of the records that are stored as declared. */
  unchanged: string[]
  /** Declarations that must not overwrite a newer stored record. */
  stale: StaleDeclaration[]
}

/**
 * Plans the writes that store `declarations`. `keyOf` returns the key of a declaration; with `prune`, stored records
 * that are not declared are replaced by tombstones.
 */
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
