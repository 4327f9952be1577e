/**
 * Least-squares fit of a line to measured points.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  x: number
  y: number
}

/** The fitted line `y = intercept + slope · x`. */
export interface LinearFit {
  slope: number
  intercept: number
  /** Largest vertical distance of a point from the line, as a fraction of the largest absolute y. */
  largestResidual: number
}

/** Fits a line to points with at least two different values of x. */
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
