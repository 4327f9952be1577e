// Bundles plumstage-entry into one file, so that a restarted process serves again soon.
import { build } from 'esbuild'

await build({
  entryPoints: ['packages/entry/dist/bin/entryMain.js'],
  outfile: 'target/plumstage-entry.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);" },
  logLevel: 'warning'
})
