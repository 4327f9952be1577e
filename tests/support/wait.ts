/**
 * Waiting in tests whose faults take real time.
 *
 * @module
 */

/** Resolves after the given time. */
export async function wait (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Resolves when a condition holds, and rejects when it does not come to hold in time. */
export async function waitUntil (holds: () => boolean, limitMilliseconds = 3000): Promise<void> {
  const deadline = performance.now() + limitMilliseconds
  while (!holds()) {
    if (performance.now() > deadline) throw new Error(`The condition did not hold within ${limitMilliseconds} ms.`)
    await wait(1)
  }
}
