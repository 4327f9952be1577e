/**
 * Keeps track of the requests that run at each upstream.
 *
 * @module
 */
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { RequestTask } from './requestTask.js'

/** This gateway's running requests, by upstream. */
export class RunningRequests {
  private readonly _tasks = new Map<Upstream, Set<RequestTask>>()
  private _count = 0

  static create (): RunningRequests {
    return new RunningRequests()
  }

  get count (): number {
    return this._count
  }

  add (upstream: Upstream, task: RequestTask): void {
    const tasks = this._tasks.get(upstream) ?? new Set<RequestTask>()
    this._tasks.set(upstream, tasks)
    tasks.add(task)
    this._count++
  }

  remove (upstream: Upstream, task: RequestTask): void {
    const tasks = this._tasks.get(upstream)
    if (!tasks?.delete(task)) return
    this._count--
    if (tasks.size === 0) this._tasks.delete(upstream)
  }

  listOf (upstream: Upstream): RequestTask[] {
    return [...this._tasks.get(upstream) ?? []]
  }
}
