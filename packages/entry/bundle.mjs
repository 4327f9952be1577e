// Bundles plumstage-entry into one file and stores V8's code cache next to it, to shorten the start of a process after
// it was killed. The cache is valid only for the version of Node and the V8 flags that it was built with.
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import path from 'node:path'
import vm from 'node:vm'
import { build } from 'esbuild'

const TARGET = 'target'
const BUNDLE = path.join(TARGET, 'plumstage-entry.bundle.cjs')
const CACHE = path.join(TARGET, 'plumstage-entry.cache')

await build({
  entryPoints: ['packages/entry/dist/entry.js'],
  outfile: BUNDLE,
  bundle: true,
  minify: true,
  keepNames: true,
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
