#!/usr/bin/env node
/**
 * Lower bound of the overhead measurement: copies bytes between two sockets without parsing any protocol.
 *
 * @module
 */
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

const [listenPort, upstreamAddress] = process.argv.slice(2)
const [upstreamHost, upstreamPort] = upstreamAddress.split(':')

const server = createServer(caller => {
  const upstream = connect(Number(upstreamPort), upstreamHost)
  relay(caller, upstream)
  relay(upstream, caller)
})

function relay (from: Socket, to: Socket): void {
  from.setNoDelay(true)
  from.on('data', bytes => to.write(bytes))
  from.on('error', () => to.destroy())
  from.on('close', () => to.destroy())
}

server.listen(Number(listenPort), '127.0.0.1', () => process.stderr.write('ready\n'))
