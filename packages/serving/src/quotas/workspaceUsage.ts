/**
 * What a workspace has used of its quota at one gateway or at several.
 *
 * @module
 */

/** Use of one workspace. */
export interface WorkspaceUsage {
  workspace: string
  /** Units admitted since the start of the counting. */
  admittedUnits: number
  /** Units that callers have lately asked for in a second, admitted or not. */
  offeredUnitsPerSecond: number
}
