/**
 * Reads the snapshot of the deployment that a peer serves.
 *
 * @module
 */
import { request } from 'undici'
import { parseJson, readBoundedText } from '@plumstage/common'
import type { CallContext } from '@plumstage/common'
import type { DeploymentSnapshot } from '../deployment/deploymentView.js'
import { parseDeploymentSnapshot } from '../deployment/snapshotSchema.js'

/** HTTP path of the snapshot that a gateway serves to its peers. */
export const SNAPSHOT_PATH = '/deployment'

/** A longer snapshot holds more upstreams than a gateway keeps. */
const MAXIMUM_SNAPSHOT_BYTES = 32 * 1024 * 1024

/**
 * Reads the snapshot of the peer at an address; rejects if it can't be read. Each call opens a connection: one kept from an earlier
 * call may have gone silent, and calls are rare.
 */
export async function readPeerSnapshot (address: string, context: CallContext): Promise<DeploymentSnapshot> {
  const response = await request(`http://${address}${SNAPSHOT_PATH}`, { signal: context.signal, reset: true })
  return parseDeploymentSnapshot(parseJson(await readBoundedText(response.body, MAXIMUM_SNAPSHOT_BYTES)))
}
