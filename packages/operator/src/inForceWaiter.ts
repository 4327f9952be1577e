/**
 * Waits until a configuration revision is in force on all live gateways.
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

/** The gateways on which a revision is in force, and how long that took. */
export interface InForceReport {
  gateways: string[]
  seconds: number
}

/** Returns the live gateways on which `revision` is not yet in force. */
export function findLaggingGateways (status: StatusView, revision: number): MemberView[] {
  return listLiveGateways(status).filter(member => member.configurationRevision < revision)
}

/** Polls one gateway, whose status lists its peers, until `revision` is in force on all live gateways or `deadline` has passed. */
export async function waitUntilInForce (gateway: GatewayClient, clock: Clock, revision: number, deadline: Timestamp): Promise<Result<InForceReport, Error>> {
  const startedAt = clock.now()
  let problem = ''
  while (clock.now() < deadline) {
    const status = await gateway.readStatus()
    if (status.isErr()) problem = status.error.message
    else {
      const lagging = findLaggingGateways(status.value, revision)
      if (lagging.length === 0) return ok({ gateways: listLiveGateways(status.value).map(member => member.name).sort(), seconds: (clock.now() - startedAt) / MILLISECONDS_PER_SECOND })
      problem = `These gateways are still at an older revision: ${lagging.map(member => `${member.name} (${member.address}) at revision ${member.configurationRevision}`).join(', ')}. Check their logs and \`plumstage status\`.`
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
  }
  return err(new NotInForceError(`Revision ${revision} was accepted, but did not come into force on all live gateways in time. ${problem}`))
}

function listLiveGateways (status: StatusView): MemberView[] {
  return [status.self, ...status.members.map(entry => entry.member)].filter(member => member.state !== 'dead')
}
