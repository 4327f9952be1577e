/**
 * What a gateway tells operators about itself.
 *
 * @module
 */
import type { UnreadableRecord } from '../configuration/configurationState.js'
import type { KeyValueServiceHealth } from '../configuration/configurationTask.js'
import type { KnownMember } from '../membership/membershipTable.js'
import type { Member } from '../membership/member.js'
import type { CrashSuspicion } from '@plumstage/serving'
import type { Upstream } from '../upstreams/upstream.js'

/** State of one gateway. */
export interface GatewayStatus {
  self: Member
  stopping: boolean
  keyValueService: { health: KeyValueServiceHealth, problem?: string }
  unreadableRecords: UnreadableRecord[]
  members: KnownMember[]
  upstreams: Upstream[]
  suspicions: CrashSuspicion[]
  requests: { inFlight: number, waiting: number, running: number }
}
