/**
 * A gateway as the others know it.
 *
 * @module
 */

/** State of a member. Within one incarnation it only moves forward. */
export type MemberState = 'alive' | 'leaving' | 'dead'

/** What gateways tell each other about one of them. */
export interface Member {
  /** Name from its settings, unique in the deployment. */
  name: string
  /** IP number and port of its peer listener. */
  address: string
  failureDomain: string
  /** Rises with every restart, and when a member finds itself called dead. */
  incarnation: number
  state: MemberState
  /** Raised by the member itself in every round. */
  heartbeat: number
  /** Revision of the configuration it has in force. */
  configurationRevision: number
}

const STATE_ORDER: Readonly<Record<MemberState, number>> = { alive: 0, leaving: 1, dead: 2 }

/** Whether `offered` says something newer than `known` does. */
export function isNewer (offered: Member, known: Member): boolean {
  if (offered.incarnation !== known.incarnation) return offered.incarnation > known.incarnation
  if (offered.state !== known.state) return STATE_ORDER[offered.state] > STATE_ORDER[known.state]
  return offered.heartbeat > known.heartbeat
}
