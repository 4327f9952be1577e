/**
 * Waiting in tests whose faults take real time.
 *
 * @module
 */

/** Resolves after the given time. */
export async function wait (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}
