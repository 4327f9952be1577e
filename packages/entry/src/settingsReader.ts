/**
 * Reads the settings file at the start of a process.
 *
 * @module
 */
import { setTimeout } from 'node:timers/promises'
import { getLogger } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { readSettingsFile } from '@plumstage/platform'
import type { ServingSettings } from '@plumstage/serving'
import type { Result } from 'neverthrow'

/** A file that is being written is complete within this time. */
const WRITING_MILLISECONDS = 2000
const POLL_MILLISECONDS = 50

const log = getLogger('settings')

/** Reads the file until it can be used, since it may be being written; returns the last error if that lasts too long. */
export async function readSettingsWhenWritten (path: string, clock: Clock): Promise<Result<ServingSettings, Error>> {
  const deadline = clock.now() + WRITING_MILLISECONDS
  let settings = readSettingsFile(path)
  if (settings.isErr()) log.warn(`The settings file is read again until it can be used: ${settings.error.message}`)
  while (settings.isErr() && clock.now() < deadline) {
    await setTimeout(POLL_MILLISECONDS)
    settings = readSettingsFile(path)
  }
  return settings
}
