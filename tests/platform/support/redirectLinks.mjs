/**
 * Loaded into the process of a gateway: its connections to the common address of all upstreams go to its own proxies.
 *
 * @module
 */
import { Socket } from 'node:net'
import { env } from 'node:process'

const { LINK_COMMON_HOST, LINK_OWN_HOST } = env
const { connect } = Socket.prototype

Socket.prototype.connect = function (...parameters) {
  for (const options of parameters.flat()) {
    if (options?.host === LINK_COMMON_HOST) options.host = LINK_OWN_HOST
  }
  return connect.apply(this, parameters)
}
