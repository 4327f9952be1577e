/**
 * HTTP headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1, and older practice).
 *
 * @module
 */

/** Header names in lower case. */
export const HOP_BY_HOP_HEADERS: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
]
