/**
 * The requests in flight on one gateway.
 *
 * @module
 */
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { RequestTask } from './requestTask.js'

/** Keeps every request from its acceptance to its end. */
export class RequestRegistry {
  private readonly _tasks = new Map<string, RequestTask>()
  private _emptyListeners: Array<() => void> = []

  static create (): RequestRegistry {
    return new RequestRegistry()
  }

  get size (): number {
    return this._tasks.size
  }

  add (task: RequestTask): void {
    this._tasks.set(task.request.requestId, task)
  }

  remove (task: RequestTask): void {
    this._tasks.delete(task.request.requestId)
    if (this._tasks.size > 0) return
    const waiting = this._emptyListeners
    this._emptyListeners = []
    for (const resolve of waiting) resolve()
  }

  list (): RequestTask[] {
    return [...this._tasks.values()]
  }

  listOnUpstream (upstream: UpstreamIdentity): RequestTask[] {
    return [...this._tasks.values()].filter(task => task.upstream?.service === upstream.service && task.upstream.address === upstream.address && task.upstream.incarnation === upstream.incarnation)
  }

  /** Resolves when no request is in flight. */
  async waitUntilEmpty (): Promise<void> {
    if (this._tasks.size === 0) return
    await new Promise<void>(resolve => this._emptyListeners.push(resolve))
  }
}
