/**
 * Checks that hold between records: references and ambiguities.
 *
 * @module
 */
import type { RecordDeclaration, RecordProblem } from './recordFile.js'
import type { ConfigurationRecord, RouteRecord, ServiceRecord } from './model.js'

/** Returns the mistakes between the declarations, given the records that stay in force beside them. */
export function validateRecordSet (declarations: readonly RecordDeclaration[], others: readonly ConfigurationRecord[]): RecordProblem[] {
  const problems = findDuplicateNames(declarations)
  const all = [...declarations.map(declaration => declaration.record), ...others]
  for (const declaration of declarations) {
    if (declaration.record.kind === 'Route') problems.push(...checkRoute(declaration, declaration.record, all))
    if (declaration.record.kind === 'Service') problems.push(...checkModels(declaration, declaration.record, others))
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
    if (first) problems.push(createProblem(declaration, 'metadata.name', `repeats ${key}, which is declared at ${first.file}:${first.line}; remove one of them`))
    seen.set(key, first ?? declaration)
  }
  return problems
}

function checkRoute (declaration: RecordDeclaration, route: RouteRecord, all: readonly ConfigurationRecord[]): RecordProblem[] {
  const problems: RecordProblem[] = []
  const service = all.find((record): record is ServiceRecord => record.kind === 'Service' && record.name === route.service)
  if (!service) problems.push(createProblem(declaration, 'spec.service', `names Service ${route.service}, which does not exist; declare it or correct the name`))
  if (!all.some(record => record.kind === 'Priority' && record.name === route.priority)) problems.push(createProblem(declaration, 'spec.priority', `names Priority ${route.priority}, which does not exist; declare it or correct the name`))
  if (service && route.model !== undefined && !service.models.includes(route.model)) problems.push(createProblem(declaration, 'spec.model', `names model ${route.model}, which Service ${service.name} does not list; add it to the service's models`))
  const twin = all.find((record): record is RouteRecord => record.kind === 'Route' && record.name !== route.name && matchesSameRequests(record, route))
  if (twin) problems.push(createProblem(declaration, route.model === undefined ? 'spec.pathPrefix' : 'spec.model', `matches the same calls as Route ${twin.name}; change one of them`))
  return problems
}

/** A service must go on listing the models that routes outside the files send to it. */
function checkModels (declaration: RecordDeclaration, service: ServiceRecord, others: readonly ConfigurationRecord[]): RecordProblem[] {
  const broken = others.filter((record): record is RouteRecord => record.kind === 'Route' && record.service === service.name && record.model !== undefined && !service.models.includes(record.model))
  return broken.map(route => createProblem(declaration, 'spec.models', `no longer lists model ${route.model}, which Route ${route.name} sends to it; list it, or change the route in the same apply`))
}

function matchesSameRequests (left: RouteRecord, right: RouteRecord): boolean {
  if (left.model !== right.model || left.pathPrefix !== right.pathPrefix) return false
  if (left.methods.length === 0 || right.methods.length === 0) return left.methods.length === right.methods.length
  return left.methods.some(method => right.methods.includes(method))
}

function checkTokens (declaration: RecordDeclaration, all: readonly ConfigurationRecord[]): RecordProblem[] {
  const record = declaration.record
  if (record.kind !== 'Workspace') return []
  const twin = all.find(other => other.kind === 'Workspace' && other.name !== record.name && other.tokenDigests.some(digest => record.tokenDigests.includes(digest)))
  if (!twin) return []
  return [createProblem(declaration, 'spec.tokenDigests', `shares a token with Workspace ${twin.name}; give each workspace a token of its own`)]
}

function createProblem (declaration: RecordDeclaration, field: string, message: string): RecordProblem {
  return { file: declaration.file, line: declaration.line, field, message }
}
