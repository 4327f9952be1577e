/**
 * Runs work after everything that has already arrived on open connections was read.
 *
 * @module
 */

/**
 * Calls back once the event loop has polled all connections again. When a gateway was paused or short of processor time, a
 * caller may have left before its request was read; its close is only read by the poll after the one that brought the request.
 */
export function afterNextPoll (callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}
