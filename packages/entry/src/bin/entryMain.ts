#!/usr/bin/env node
/**
 * `plumstage-entry`: a serving gateway on the users' platform.
 *
 * @module
 */
import { ProcessSignals } from '../processSignals.js'

// A static import would load the whole program before the first statement.
const signals = ProcessSignals.create(process)
const { runEntry } = await import('../entry.js')
runEntry(signals)
