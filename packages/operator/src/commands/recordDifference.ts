/**
 * Formats the difference between two versions of a record.
 *
 * @module
 */
import { stringify } from 'yaml'
import type { PlannedChange } from '../changePlan.js'

const SIGNS: Readonly<Record<PlannedChange['kind'], string>> = { create: '+', update: '~', prune: '-' }

/** Formats a heading and the lines that a change removes and adds. */
export function formatDifference (label: string, change: PlannedChange): string {
  const heading = `${SIGNS[change.kind]} ${label} (${change.kind})`
  const before = change.kind === 'create' ? [] : toLines(change.previous)
  const after = change.kind === 'prune' ? [] : toLines(change.value)
  return [heading, ...compareLines(before, after)].join('\n')
}

function toLines (storedText: string): string[] {
  return stringify(JSON.parse(storedText)).trimEnd().split('\n')
}

/** Returns the removed and added lines, based on the longest common subsequence. */
function compareLines (before: readonly string[], after: readonly string[]): string[] {
  const lengths = Array.from({ length: before.length + 1 }, () => new Array<number>(after.length + 1).fill(0))
  for (let left = before.length - 1; left >= 0; left--) {
    for (let right = after.length - 1; right >= 0; right--) {
      lengths[left][right] = before[left] === after[right] ? lengths[left + 1][right + 1] + 1 : Math.max(lengths[left + 1][right], lengths[left][right + 1])
    }
  }
  const lines: string[] = []
  let left = 0
  let right = 0
  while (left < before.length || right < after.length) {
    if (left < before.length && right < after.length && before[left] === after[right]) {
      left++
      right++
    } else if (left < before.length && (right === after.length || lengths[left + 1][right] >= lengths[left][right + 1])) {
      lines.push(`  - ${before[left++]}`)
    } else {
      lines.push(`  + ${after[right++]}`)
    }
  }
  return lines
}
