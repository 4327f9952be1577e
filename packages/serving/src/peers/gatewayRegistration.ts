/**
 * The entry that a gateway registers in the store so that its peers can find it.
 *
 * @module
 */
import * as z from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { RecordError, describeError, isNetworkAddress } from '@plumstage/common'

const schema = z.object({
  /** Address for peers: datagrams and HTTP on the same port. */
  address: z.string().refine(isNetworkAddress, 'must be an IP address and a port'),
  /** Number of processor cores available to the gateway. */
  processorCores: z.number(),
  /** Whether the gateway takes part in aggregation rounds; gateways of earlier releases don't state it. */
  aggregates: z.boolean().optional()
})

/** Address and processing capacity of a gateway. */
export type GatewayRegistration = z.infer<typeof schema>

export function encodeRegistration (registration: GatewayRegistration): string {
  return JSON.stringify(registration)
}

export function decodeRegistration (text: string): Result<GatewayRegistration, Error> {
  try {
    return ok(schema.parse(JSON.parse(text)))
  } catch (cause) {
    return err(new RecordError(`The registration of a gateway can't be read (${describeError(cause).replaceAll('\n', ' ')}). The gateway is added when it registers again.`))
  }
}
