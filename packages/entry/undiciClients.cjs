// The parts of undici that a gateway uses. The package's main module also loads fetch, WebSockets, caches and mocks,
// which would prolong each start and occupy memory.
const Agent = require('undici/lib/dispatcher/agent.js')
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
const Pool = require('undici/lib/dispatcher/pool.js')
const api = require('undici/lib/api/index.js')
const buildConnector = require('undici/lib/core/connect.js')

Object.assign(Dispatcher.prototype, api)

let agent

async function request (url, options) {
  const { origin, pathname, search } = new URL(url)
  agent ??= new Agent()
  return await agent.request({ method: 'GET', ...options, origin, path: pathname + search })
}

module.exports = { Pool, buildConnector, request }
