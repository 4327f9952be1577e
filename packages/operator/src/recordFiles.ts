/**
 * Reads record files and folders.
 *
 * @module
 */
import { readFile, readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { describeError } from '@plumstage/common'
import { parseRecordFile } from '@plumstage/records'
import type { RecordFileContent } from '@plumstage/records'
import { UsageError } from './operatorErrors.js'

const RECORD_FILE = /\.ya?ml$/

/** Reads all records of the given files, and of the YAML files in the given folders and below. */
export async function readRecordFiles (paths: readonly string[]): Promise<Result<RecordFileContent, Error>> {
  const content: RecordFileContent = { declarations: [], problems: [] }
  try {
    for (const path of await expandPaths(paths)) {
      const file = parseRecordFile(path, await readFile(path, 'utf8'))
      content.declarations.push(...file.declarations)
      content.problems.push(...file.problems)
    }
  } catch (error) {
    return err(new UsageError(`The record files can't be read: ${describeError(error)}. Name existing YAML files or folders.`))
  }
  if (content.declarations.length === 0 && content.problems.length === 0) return err(new UsageError(`There is no record in ${paths.join(', ')}. Name YAML files or folders that hold records.`))
  return ok(content)
}

async function expandPaths (paths: readonly string[]): Promise<string[]> {
  const files: string[] = []
  for (const path of paths) {
    if (!(await stat(path)).isDirectory()) {
      files.push(path)
      continue
    }
    const entries = await readdir(path, { recursive: true })
    files.push(...entries.filter(entry => RECORD_FILE.test(entry)).sort().map(entry => join(path, entry)))
  }
  return files
}
