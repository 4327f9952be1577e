/**
 * Straight lines through measured points.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  x: number
  y: number
}

/** `y = intercept + slope · x`, by least squares. */
export interface LinearFit {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, as a fraction of the largest y. */
  largestResidual: number
}

/** Fits a line through at least two points with different x. */
export function fitLine (points: readonly Point[]): LinearFit {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0)
  const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = covariance / variance
  const intercept = meanY - slope * meanX
  const largestY = Math.max(...points.map(point => Math.abs(point.y)))
  const largestResidual = Math.max(...points.map(point => Math.abs(point.y - intercept - slope * point.x))) / largestY
  return { slope, intercept, largestResidual }
}
