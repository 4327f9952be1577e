/**
 * Message queue of a task that owns its state: messages are handled one at a time, in order.
 *
 * @module
 */

/** Queue of messages to one task. */
export class Mailbox<Message> {
  private readonly _handle: (message: Message) => Promise<void>
  private readonly _onFailure: (error: unknown) => void
  private _tail: Promise<void> = Promise.resolve()

  private constructor (handle: (message: Message) => Promise<void>, onFailure: (error: unknown) => void) {
    this._handle = handle
    this._onFailure = onFailure
  }

  static create<Message> (handle: (message: Message) => Promise<void>, onFailure: (error: unknown) => void): Mailbox<Message> {
    return new Mailbox(handle, onFailure)
  }

  post (message: Message): void {
    this._tail = this._tail.then(() => this._handle(message)).catch(this._onFailure)
  }

  /** Resolves when every message posted so far has been handled. */
  async drain (): Promise<void> {
    await this._tail
  }
}
