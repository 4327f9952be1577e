/**
 * Network addresses such as `10.0.0.7:9000` or `[::1]:9000`.
 *
 * @module
 */

/** An IP address, without brackets, and a port. */
export interface NetworkAddress {
  host: string
  port: number
}

export function splitAddress (address: string): NetworkAddress {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
