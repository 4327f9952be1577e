// Preloaded into a bundled process: says so on standard output when the process begins to load its program.
const fs = require('node:fs')

const { readFileSync } = fs
fs.readFileSync = (file, ...options) => {
  if (String(file).endsWith('.bundle.cjs')) fs.writeSync(1, 'loading\n')
  return readFileSync(file, ...options)
}
