/**
 * The state of one gateway as the gateways of a deployment exchange it.
 *
 * @module
 */

/** State of a member. Within one incarnation, it only moves forward: alive, leaving, dead. */
export type MemberState = 'alive' | 'leaving' | 'dead'

/** One gateway of the deployment. */
export interface Member {
  /** Name from its settings, unique in the deployment. */
  name: string
  /** IP address and port of its peer listener. */
  address: string
  failureDomain: string
  /** Increases with every restart, and when a peer reports the member as dead. */
  incarnation: number
  state: MemberState
  /** Incremented by the member itself in every round. */
  heartbeat: number
  /** Revision of the configuration it has in force. */
  configurationRevision: number
}

const STATE_ORDER: Readonly<Record<MemberState, number>> = { alive: 0, leaving: 1, dead: 2 }

/** Whether `candidate` is newer than `current`. */
export function isNewer (candidate: Member, current: Member): boolean {
  if (candidate.incarnation !== current.incarnation) return candidate.incarnation > current.incarnation
  if (candidate.state !== current.state) return STATE_ORDER[candidate.state] > STATE_ORDER[current.state]
  return candidate.heartbeat > current.heartbeat
}
