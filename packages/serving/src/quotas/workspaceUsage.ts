/**
 * Quota usage of a workspace at one or several gateways.
 *
 * @module
 */

/** Usage of one workspace. */
export interface WorkspaceUsage {
  workspace: string
  /** Units admitted since counting began. */
  admittedUnits: number
  /** Recent rate of requested units per second, admitted or not. */
  offeredUnitsPerSecond: number
}
