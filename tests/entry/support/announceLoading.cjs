// Preloaded into a bundled process: says so on standard output when the process begins to load its program.
// LOADING_MILLISECONDS prolongs the loading, during which the process handles no event.
const fs = require('node:fs')

const { readFileSync } = fs

function announce () {
  try {
    fs.writeSync(1, 'loading\n')
  } catch {
    // A test that has closed the output does not read this.
  }
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, Number(process.env.LOADING_MILLISECONDS))
}

fs.readFileSync = (file, ...options) => {
  if (String(file).endsWith('.bundle.cjs')) announce()
  return readFileSync(file, ...options)
}
