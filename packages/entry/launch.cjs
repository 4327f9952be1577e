// Starts the bundled plumstage-entry with V8's code cache.
const { readFileSync } = require('node:fs')
const { createRequire } = require('node:module')
const path = require('node:path')
const vm = require('node:vm')

const file = path.join(__dirname, 'plumstage-entry.bundle.cjs')
const cachedData = readFileSync(path.join(__dirname, 'plumstage-entry.cache'))
const script = new vm.Script(`(function (exports, require, module) {${readFileSync(file, 'utf8')}\n})`, { filename: file, cachedData })
if (script.cachedDataRejected) process.stderr.write('The code cache does not fit this release of Node or its flags; the start takes longer. Build again with those of the run.\n')
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, createRequire(file), bundle)
bundle.exports.runEntry()
