// Starts the bundled plumstage-entry with its V8 code cache. Signals are handled before the bundle is loaded.
const { ProcessSignals } = require('./plumstage-signals.cjs')

const signals = ProcessSignals.create(process)
const { readFileSync } = require('node:fs')
const { createRequire } = require('node:module')
const path = require('node:path')
const vm = require('node:vm')

const file = path.join(__dirname, 'plumstage-entry.bundle.cjs')
const cachedData = readFileSync(path.join(__dirname, 'plumstage-entry.cache'))
const script = new vm.Script(`(function (exports, require, module) {${readFileSync(file, 'utf8')}\n})`, { filename: file, cachedData })
if (script.cachedDataRejected) process.stderr.write('The code cache was built for another version of Node or other V8 flags, so the start takes longer. Run the bundle script with the same version and flags.\n')
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, createRequire(file), bundle)
bundle.exports.runEntry(signals)
