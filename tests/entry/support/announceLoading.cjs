// Preloaded into a bundled process: says so on standard output when the process begins to load its program.
const fs = require('node:fs')

const { readFileSync } = fs

function announce () {
  try {
    fs.writeSync(1, 'loading\n')
  } catch {
    // A test that has closed the output does not read this.
  }
}

fs.readFileSync = (file, ...options) => {
  if (String(file).endsWith('.bundle.cjs')) announce()
  return readFileSync(file, ...options)
}
