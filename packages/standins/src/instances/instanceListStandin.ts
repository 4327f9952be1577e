/**
 * Stand-in for the platform's instance list, including reclaim notices.
 *
 * @module
 */
import type { Server } from 'node:http'
import { Hono } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import * as z from 'zod'
import { Listener } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { InstanceListState, listedInstanceSchema } from './instanceListState.js'

const reclaimSchema = z.strictObject({ address: z.string(), deadline: z.number() })

/** A running instance list server. */
export class InstanceListStandin {
  readonly state: InstanceListState
  private readonly _listener: Listener

  private constructor (state: InstanceListState, listener: Listener) {
    this.state = state
    this._listener = listener
  }

  static async create (clock: Clock, listen: string): Promise<InstanceListStandin> {
    const state = InstanceListState.create(clock)
    const server = createAdaptorServer({ fetch: createRoutes(state).fetch }) as Server
    return new InstanceListStandin(state, await Listener.create(server, listen))
  }

  get url (): string {
    return `http://${this._listener.address}`
  }

  async stop (): Promise<void> {
    await this._listener.destroy()
  }
}

function createRoutes (state: InstanceListState): Hono {
  const routes = new Hono()
  routes.get('/instances', context => context.json({ instances: state.visibleInstances }))
  routes.put('/standin/instances', async context => {
    state.put(listedInstanceSchema.parse(await context.req.json()))
    return context.json({})
  })
  routes.delete('/standin/instances/:address', context => {
    state.remove(context.req.param('address'))
    return context.json({})
  })
  routes.post('/standin/reclaims', async context => {
    const reclaim = reclaimSchema.parse(await context.req.json())
    state.announceReclaim(reclaim.address, reclaim.deadline)
    return context.json({})
  })
  return routes
}
