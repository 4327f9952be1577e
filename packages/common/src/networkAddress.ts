/**
 * Network addresses such as `10.0.0.7:9000` or `[::1]:9000`.
 *
 * @module
 */
import { isIP } from 'node:net'

const MAXIMUM_PORT = 65_535
const PORT_PATTERN = /^\d{1,5}$/

/** An IP address, without brackets, and a port. */
export interface NetworkAddress {
  host: string
  port: number
}

/** Whether a text is an IP address and a port to which a connection can be opened. Check what others have written before using it. */
export function isNetworkAddress (text: string): boolean {
  const { host, port } = splitAddress(text)
  return isIP(host) !== 0 && PORT_PATTERN.test(text.slice(text.lastIndexOf(':') + 1)) && port > 0 && port <= MAXIMUM_PORT
}

export function splitAddress (address: string): NetworkAddress {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
