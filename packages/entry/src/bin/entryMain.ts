#!/usr/bin/env node
/**
 * `plumstage-entry`: a serving gateway on the users' platform.
 *
 * @module
 */
import { runEntry } from '../entry.js'

runEntry()
