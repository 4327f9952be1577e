/**
 * Loaded into a gateway before its program: from each SIGUSR2 to the next, the gateway neither sends nor receives datagrams,
 * as if it were cut off from all other gateways.
 *
 * @module
 */
import { Socket } from 'node:dgram'

let isCutOff = false
process.on('SIGUSR2', () => { isCutOff = !isCutOff })

const { send, emit } = Socket.prototype

Socket.prototype.send = function (...parameters) {
  if (isCutOff) return
  return send.apply(this, parameters)
}

Socket.prototype.emit = function (event, ...parameters) {
  if (isCutOff && event === 'message') return false
  return emit.call(this, event, ...parameters)
}
