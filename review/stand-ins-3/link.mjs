/**
 * The link of one machine to one address, as a proxy on a loopback address. A cut drops all packets: nothing passes in either
 * direction and no end is seen. What was sent on an open connection stays in the sender's queue and is sent again, first after
 * 200 ms, then after twice the time each, as TCP does (RFC 6298); so it arrives at the first of these moments after the cut has
 * healed, unless its sender has reset the connection. A connection that is opened during a cut is never established: what is
 * written on it is lost.
 */
import { connect, createServer } from 'node:net'

const FIRST_RETRANSMISSION_MILLISECONDS = 200

export class Link {
  isCut = false
  pairs = new Set()
  /** Called with what happens on the link. */
  log = () => {}

  static async create (target, name, log) {
    const link = new Link()
    link.target = target
    link.name = name
    link.log = log ?? (() => {})
    link.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => link.accept(socket))
    await new Promise(resolve => link.server.listen(0, '127.0.0.1', resolve))
    return link
  }

  get address () { return `127.0.0.1:${this.server.address().port}` }

  stop () {
    for (const { near, far } of this.pairs) { near.destroy(); far?.destroy() }
    this.server.close()
  }

  cut () { this.isCut = true }

  heal () {
    this.isCut = false
    for (const pair of this.pairs) {
      if (pair.isLost) { pair.near.destroy(); continue }
      this.releaseLater(pair.toFar)
      this.releaseLater(pair.toNear)
    }
  }

  accept (near) {
    near.on('error', () => {})
    const pair = { near, isLost: this.isCut }
    this.pairs.add(pair)
    near.once('close', () => { if (pair.isLost) this.pairs.delete(pair) })
    if (pair.isLost) return near.resume()
    const [host, port] = this.target.split(':')
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    pair.far = far
    far.on('error', () => {})
    pair.toFar = this.carry(near, far, pair, 'out')
    pair.toNear = this.carry(far, near, pair, 'in')
  }

  carry (from, to, pair, direction) {
    const way = { from, to, pair, held: [], since: 0, timer: undefined, isReset: false }
    const pass = action => {
      if (way.isReset) return
      if (!this.isCut && way.held.length === 0) return action()
      if (way.held.length === 0) way.since = performance.now()
      way.held.push(action)
    }
    from.on('data', bytes => {
      if (this.isCut) this.log(`${this.name}: ${bytes.length} bytes ${direction} are held up`)
      pass(() => to.write(bytes))
    })
    from.on('end', () => {
      if (this.isCut) this.log(`${this.name}: the end of a connection ${direction} is held up`)
      pass(() => to.end())
    })
    from.on('error', () => {
      // A reset: what the sender still held is gone; the other end learns of the reset when packets pass again.
      way.isReset = true
      if (way.held.length > 0) this.log(`${this.name}: a connection ${direction} was reset, and what was held up is lost`)
      way.held = []
      clearTimeout(way.timer)
      if (this.isCut) pair.isLost = true
      else to.destroy()
    })
    from.on('close', () => {
      if (to.destroyed || (from.destroyed && to.writableFinished)) this.pairs.delete(pair)
    })
    return way
  }

  /** Sends what is held at the next moment at which TCP sends it again. */
  releaseLater (way) {
    if (way.held.length === 0) return
    const now = performance.now()
    let interval = FIRST_RETRANSMISSION_MILLISECONDS
    let at = way.since + interval
    while (at < now) {
      interval *= 2
      at += interval
    }
    way.timer = setTimeout(() => {
      if (this.isCut) return
      this.log(`${this.name}: what was held up passes, ${Math.round(performance.now() - way.since)} ms after it was sent`)
      const { held } = way
      way.held = []
      for (const action of held) action()
    }, at - now)
  }
}
