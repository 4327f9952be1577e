/**
 * Waits until a revision is in force on all gateways.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, Timestamp } from '@plumstage/common'
import type { GatewayClient, MemberView, StatusView } from './gatewayClient.js'
import { NotInForceError } from './operatorErrors.js'

const POLL_MILLISECONDS = 100
const MILLISECONDS_PER_SECOND = 1000

/** How long it took until all gateways had a revision in force. */
export interface InForceReport {
  gateways: string[]
  seconds: number
}

/** Returns the live gateways on which `revision` is not in force yet. */
export function findLaggingGateways (status: StatusView, revision: number): MemberView[] {
  return listLiveGateways(status).filter(member => member.configurationRevision < revision)
}

/** Asks one gateway, which knows all others, until `revision` is in force everywhere or `deadline` has passed. */
export async function waitUntilInForce (gateway: GatewayClient, clock: Clock, revision: number, deadline: Timestamp): Promise<Result<InForceReport, Error>> {
  const startedAt = clock.now()
  let problem = ''
  while (clock.now() < deadline) {
    const status = await gateway.readStatus()
    if (status.isErr()) problem = status.error.message
    else {
      const lagging = findLaggingGateways(status.value, revision)
      if (lagging.length === 0) return ok({ gateways: listLiveGateways(status.value).map(member => member.name).sort(), seconds: (clock.now() - startedAt) / MILLISECONDS_PER_SECOND })
      problem = `These gateways lag: ${lagging.map(member => `${member.name} (${member.address}) at revision ${member.configurationRevision}`).join(', ')}. Look at their logs and at \`plumstage status\`.`
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
  }
  return err(new NotInForceError(`Revision ${revision} is accepted, but not in force everywhere in time. ${problem}`))
}

function listLiveGateways (status: StatusView): MemberView[] {
  return [status.self, ...status.members.map(known => known.member)].filter(member => member.state !== 'dead')
}
