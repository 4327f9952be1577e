/** Stand-in for the platform's API of singleton duties: records each call when it arrives, and answers 200. */
import { createServer } from 'node:http'

export class Cloud {
  calls = []
  /** Called with each call. */
  onCall = () => {}

  static async create () {
    const cloud = new Cloud()
    cloud.server = createServer((request, response) => {
      let text = ''
      request.on('data', chunk => { text += chunk })
      request.on('error', () => {})
      request.on('end', () => {
        const document = JSON.parse(text)
        const duty = request.url === '/usage' ? 'usage' : 'scale'
        const call = { at: performance.now(), duty, subject: duty === 'usage' ? 'usage' : `${document.service} in ${document.zone}`, holder: request.headers['plumstage-duty-holder'], token: Number(request.headers['plumstage-fencing-token']), document }
        cloud.calls.push(call)
        cloud.onCall(call)
        response.writeHead(200, { 'content-type': 'application/json' })
        response.end('{}')
      })
    })
    cloud.server.keepAliveTimeout = 60_000
    await new Promise(resolve => cloud.server.listen(0, '127.0.0.1', resolve))
    return cloud
  }

  get address () { return `127.0.0.1:${this.server.address().port}` }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }
}
