/**
 * Stand-in for the platform's instance list with its reclaim notices. The list lags by a set time.
 *
 * @module
 */
import type { Server } from 'node:http'
import { Hono } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import { z } from 'zod'
import type { Clock, Timestamp } from '@plumstage/common'
import { HttpListener } from '../http/httpListener.js'
import type { ListenAddress } from '../http/httpListener.js'

const instanceSchema = z.strictObject({
  pool: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  instanceClass: z.string().default('standard'),
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
  deadline: z.number().optional()
})

export type ListedInstance = z.infer<typeof instanceSchema>

interface ListVersion {
  visibleFrom: Timestamp
  instances: readonly ListedInstance[]
}

/** A running instance list. */
export class InstanceListStandin {
  /** How long a change stays invisible, in milliseconds. */
  lagMilliseconds = 0
  private readonly _clock: Clock
  private _versions: ListVersion[] = [{ visibleFrom: 0, instances: [] }]
  private _listener: HttpListener | undefined

  private constructor (clock: Clock) {
    this._clock = clock
  }

  static async create (clock: Clock, listen: ListenAddress): Promise<InstanceListStandin> {
    const list = new InstanceListStandin(clock)
    const server = createAdaptorServer({ fetch: list._createRoutes().fetch }) as Server
    list._listener = await HttpListener.create(server, listen)
    return list
  }

  get url (): string {
    return `http://${this._listener!.address}`
  }

  /** Adds an instance, or replaces the one at its address. */
  put (instance: ListedInstance): void {
    const others = this._latest.filter(other => other.address !== instance.address)
    this._change([...others, instance])
  }

  remove (address: string): void {
    this._change(this._latest.filter(instance => instance.address !== address))
  }

  /** Announces that an instance is taken away at `deadline`, in milliseconds since the epoch. */
  announceReclaim (address: string, deadline: Timestamp): void {
    this._change(this._latest.map(instance => instance.address === address ? { ...instance, state: 'leaving' as const, deadline } : instance))
  }

  async stop (): Promise<void> {
    await this._listener!.destroy()
  }

  private get _latest (): readonly ListedInstance[] {
    return this._versions[this._versions.length - 1].instances
  }

  private get _visible (): readonly ListedInstance[] {
    const now = this._clock.now()
    while (this._versions.length > 1 && this._versions[1].visibleFrom <= now) this._versions.shift()
    return this._versions[0].instances
  }

  private _change (instances: readonly ListedInstance[]): void {
    this._versions.push({ visibleFrom: this._clock.now() + this.lagMilliseconds, instances })
  }

  private _createRoutes (): Hono {
    const routes = new Hono()
    routes.get('/instances', context => context.json({ instances: this._visible }))
    routes.put('/standin/instances', async context => {
      this.put(instanceSchema.parse(await context.req.json()))
      return context.json({})
    })
    routes.delete('/standin/instances/:address', context => {
      this.remove(context.req.param('address'))
      return context.json({})
    })
    routes.post('/standin/reclaims', async context => {
      const reclaim = z.strictObject({ address: z.string(), deadline: z.number() }).parse(await context.req.json())
      this.announceReclaim(reclaim.address, reclaim.deadline)
      return context.json({})
    })
    return routes
  }
}
