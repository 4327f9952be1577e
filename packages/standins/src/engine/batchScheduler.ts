/**
 * Continuous batching of the engine stand-in: each step prefills waiting prompts and generates one token for every
 * running sequence.
 *
 * @module
 */

/** A sequence of tokens that the engine generates for one request. */
export interface Sequence {
  /** Order among waiting sequences; lower values run first. */
  priority: number
  /** Tokens that remain to be prefilled. */
  prefillTokens: number
  /** Generates the next token; returns false once the sequence has ended. */
  step (): boolean
}

/** Limits of the batch in each step. */
export interface BatchLimits {
  /** Sequences that run at the same time. */
  maximumRunning: number
  /** Tokens prefilled in one step, over all sequences. */
  prefillTokensPerStep: number
}

/** Schedules the sequences of one engine. */
export class BatchScheduler {
  private readonly _limits: BatchLimits
  private readonly _waiting: Sequence[] = []
  private _running: Sequence[] = []

  private constructor (limits: BatchLimits) {
    this._limits = limits
  }

  static create (limits: BatchLimits): BatchScheduler {
    return new BatchScheduler(limits)
  }

  get runningCount (): number {
    return this._running.length
  }

  get waitingCount (): number {
    return this._waiting.length
  }

  get idle (): boolean {
    return this._running.length === 0 && this._waiting.length === 0
  }

  add (sequence: Sequence): void {
    const index = this._waiting.findIndex(other => other.priority > sequence.priority)
    if (index === -1) this._waiting.push(sequence)
    else this._waiting.splice(index, 0, sequence)
  }

  remove (sequence: Sequence): void {
    this._running = this._running.filter(other => other !== sequence)
    const index = this._waiting.indexOf(sequence)
    if (index !== -1) this._waiting.splice(index, 1)
  }

  step (): void {
    while (this._running.length < this._limits.maximumRunning && this._waiting.length > 0) this._running.push(this._waiting.shift()!)
    this._prefill()
    this._running = this._running.filter(sequence => sequence.prefillTokens > 0 || sequence.step())
  }

  private _prefill (): void {
    let budget = this._limits.prefillTokensPerStep
    for (const sequence of this._running) {
      const tokens = Math.min(budget, sequence.prefillTokens)
      sequence.prefillTokens -= tokens
      budget -= tokens
      if (budget === 0) return
    }
  }
}
