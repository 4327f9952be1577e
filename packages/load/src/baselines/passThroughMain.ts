#!/usr/bin/env node
/**
 * Baseline of the overhead measurement: a Hono handler that forwards each request with undici and does nothing else.
 *
 * @module
 */
import { Readable } from 'node:stream'
import type { Server } from 'node:http'
import { Hono } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

const [listenPort, upstreamAddress] = process.argv.slice(2)
const upstream = new Pool(`http://${upstreamAddress}`, { connections: null })

const routes = new Hono()
routes.all('*', async context => {
  const response = await upstream.request({
    method: context.req.method as Dispatcher.HttpMethod,
    path: context.req.path,
    headers: { 'content-type': context.req.header('content-type') ?? 'application/json' },
    body: context.req.method === 'GET' ? undefined : Buffer.from(await context.req.arrayBuffer())
  })
  return new Response(Readable.toWeb(response.body) as ReadableStream, { status: response.statusCode, headers: { 'content-type': String(response.headers['content-type']) } })
})

const server = createAdaptorServer({ fetch: routes.fetch }) as Server
server.listen(Number(listenPort), '127.0.0.1', () => process.stderr.write('ready\n'))
