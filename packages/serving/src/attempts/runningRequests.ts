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
  /** Requests that have not ended, also those that wait for their next attempt. */
  private readonly _open = new Set<RequestTask>()
  private _count = 0
  private _acceptedCount = 0

  static create (): RunningRequests {
    return new RunningRequests()
  }

  get count (): number {
    return this._count
  }

  /** Number of requests that have not ended, also those that wait for their next attempt. */
  get openCount (): number {
    return this._open.size
  }

  /** Number of requests that were accepted since the start. */
  get acceptedCount (): number {
    return this._acceptedCount
  }

  open (task: RequestTask): void {
    this._acceptedCount++
    this._open.add(task)
  }

  close (task: RequestTask): void {
    this._open.delete(task)
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

  list (): RequestTask[] {
    return [...this._tasks.values()].flatMap(tasks => [...tasks])
  }

  /** Requests that have not ended, also those that wait for their next attempt. */
  listOpen (): RequestTask[] {
    return [...this._open]
  }

  listOf (upstream: Upstream): RequestTask[] {
    return [...this._tasks.get(upstream) ?? []]
  }
}
