// Bundles plumstage-entry into one file and stores V8's code cache next to it, to shorten the start of a process after
// it was killed. The cache is valid only for the version of Node and the V8 flags that it was built with. An argument names
// another folder than target.
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import path from 'node:path'
import vm from 'node:vm'
import { build } from 'esbuild'

const TARGET = process.argv[2] ?? 'target'
const BUNDLE = path.join(TARGET, 'plumstage-entry.bundle.cjs')
const CACHE = path.join(TARGET, 'plumstage-entry.cache')

/** Path of the modules of undici, in which HTTP/2 is left out. */
const UNDICI_PATH = `${path.sep}undici${path.sep}`

/**
 * Replaces the main module of undici by the parts that a gateway uses, and leaves out its HTTP/2, which no upstream speaks:
 * undici goes on without it when it can't be loaded. The servers for peers and metrics need Node's module to load.
 */
const usesUndiciClients = {
  name: 'undici-clients',
  setup (build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: path.resolve('packages/entry/undiciClients.cjs') }))
    build.onResolve({ filter: /^node:http2$/ }, ({ importer }) => importer.includes(UNDICI_PATH) ? { path: 'http2', namespace: 'left-out' } : undefined)
    build.onLoad({ filter: /.*/, namespace: 'left-out' }, () => ({ contents: "throw new Error('HTTP/2 is not part of this bundle.')" }))
  }
}

await build({
  entryPoints: ['packages/entry/dist/entry.js'],
  outfile: BUNDLE,
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [usesUndiciClients],
  logLevel: 'warning'
})
// Small and on its own, so that signals are handled before the program is loaded.
await build({
  entryPoints: ['packages/entry/dist/processSignals.js'],
  outfile: path.join(TARGET, 'plumstage-signals.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning'
})
copyFileSync('packages/entry/launch.cjs', path.join(TARGET, 'plumstage-entry.cjs'))

// Loading the bundle does not start the gateway, but it compiles the code that every start needs.
const file = path.resolve(BUNDLE)
const script = new vm.Script(`(function (exports, require, module) {${readFileSync(file, 'utf8')}\n})`, { filename: file })
const module = { exports: {} }
script.runInThisContext()(module.exports, createRequire(file), module)
writeFileSync(CACHE, script.createCachedData())
