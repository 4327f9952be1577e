/**
 * Loopback addresses for tests that need several.
 *
 * @module
 */
const MAXIMUM_OCTET = 250

/**
 * Returns the first three octets of loopback addresses, chosen at random so that deployments of parallel tests do not
 * collide. The system takes no ports of these addresses for outgoing connections.
 */
export function pickLoopbackNetwork (): string {
  return `127.${randomOctet()}.${randomOctet()}`
}

function randomOctet (): number {
  return 1 + Math.floor(Math.random() * MAXIMUM_OCTET)
}
