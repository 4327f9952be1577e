/**
 * HTTP headers that concern one connection and are never passed on (RFC 9110, section 7.6.1, and older practice).
 *
 * @module
 */

/** Names in lower case. */
export const HOP_BY_HOP_HEADERS: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
]
