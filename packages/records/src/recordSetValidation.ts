/**
 * Validates a set of records: that their references exist, and that no two of them have the same name, match the same
 * requests or share a token.
 *
 * @module
 */
import type { RecordDeclaration, RecordProblem } from './recordFile.js'
import type { ConfigurationRecord, RouteRecord, ServiceRecord } from './model.js'

/** Validates `declarations` against each other and against `others`, the stored records that stay unchanged. */
export function validateRecordSet (declarations: readonly RecordDeclaration[], undeclared: readonly ConfigurationRecord[]): RecordProblem[] {
  const problems = findDuplicateNames(declarations)
  const all = [...declarations.map(declaration => declaration.record), ...undeclared]
  for (const declaration of declarations) {
    if (declaration.record.kind === 'Route') problems.push(...checkRoute(declaration, declaration.record, all))
    if (declaration.record.kind === 'Service') problems.push(...checkModels(declaration, declaration.record, undeclared))
    if (declaration.record.kind === 'Workspace') problems.push(...checkTokens(declaration, all))
  }
  return problems
}

function findDuplicateNames (declarations: readonly RecordDeclaration[]): RecordProblem[] {
  const seen = new Map<string, RecordDeclaration>()
  const problems: RecordProblem[] = []
  for (const declaration of declarations) {
    const key = `${declaration.record.kind}/${declaration.record.name}`
    const first = seen.get(key)
    if (first) problems.push(createProblem(declaration, 'metadata.name', `duplicates ${key}, which is declared at ${first.file}:${first.line}; remove one of them`))
    seen.set(key, first ?? declaration)
  }
  return problems
}

function checkRoute (declaration: RecordDeclaration, route: RouteRecord, all: readonly ConfigurationRecord[]): RecordProblem[] {
  const problems: RecordProblem[] = []
  const service = all.find((record): record is ServiceRecord => record.kind === 'Service' && record.name === route.service)
  if (!service) problems.push(createProblem(declaration, 'spec.service', `refers to Service ${route.service}, which does not exist; declare it or correct the name`))
  if (!all.some(record => record.kind === 'Priority' && record.name === route.priority)) problems.push(createProblem(declaration, 'spec.priority', `refers to Priority ${route.priority}, which does not exist; declare it or correct the name`))
  if (service && route.model !== undefined && !service.models.includes(route.model)) problems.push(createProblem(declaration, 'spec.model', `refers to model ${route.model}, which Service ${service.name} does not list; add it to the service's models`))
  const conflicting = all.find((record): record is RouteRecord => record.kind === 'Route' && record.name !== route.name && matchesSameRequests(record, route))
  if (conflicting) problems.push(createProblem(declaration, route.model === undefined ? 'spec.pathPrefix' : 'spec.model', `matches the same requests as Route ${conflicting.name}; change one of them`))
  return problems
}

/** A service must keep every model that a stored route outside the files sends to it. */
function checkModels (declaration: RecordDeclaration, service: ServiceRecord, undeclared: readonly ConfigurationRecord[]): RecordProblem[] {
  const brokenRoutes = undeclared.filter((record): record is RouteRecord => record.kind === 'Route' && record.service === service.name && record.model !== undefined && !service.models.includes(record.model))
  return brokenRoutes.map(route => createProblem(declaration, 'spec.models', `no longer lists model ${route.model}, which Route ${route.name} sends to it; list it, or change the route in the same apply`))
}

function matchesSameRequests (left: RouteRecord, right: RouteRecord): boolean {
  if (left.model !== right.model || left.pathPrefix !== right.pathPrefix) return false
  if (left.methods.length === 0 || right.methods.length === 0) return left.methods.length === right.methods.length
  return left.methods.some(method => right.methods.includes(method))
}

function checkTokens (declaration: RecordDeclaration, all: readonly ConfigurationRecord[]): RecordProblem[] {
  const record = declaration.record
  if (record.kind !== 'Workspace') return []
  const conflicting = all.find(other => other.kind === 'Workspace' && other.name !== record.name && other.tokenDigests.some(digest => record.tokenDigests.includes(digest)))
  if (!conflicting) return []
  return [createProblem(declaration, 'spec.tokenDigests', `shares a token with Workspace ${conflicting.name}; give each workspace its own token`)]
}

function createProblem (declaration: RecordDeclaration, field: string, message: string): RecordProblem {
  return { file: declaration.file, line: declaration.line, field, message }
}
