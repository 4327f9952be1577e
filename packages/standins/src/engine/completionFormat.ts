/**
 * Texts of the OpenAI-compatible interface as the engine stand-in writes them.
 *
 * @module
 */

/** Which of the two endpoints was called. */
export type CompletionEndpoint = 'chat' | 'text'

/** Token counts of one answer. */
export interface CompletionUsage {
  promptTokens: number
  cachedTokens: number
  completionTokens: number
}

const MILLISECONDS_PER_SECOND = 1000

/** Writes the answer to one request. */
export class CompletionFormat {
  private readonly _endpoint: CompletionEndpoint
  private readonly _jsonPrefix: string

  private constructor (endpoint: CompletionEndpoint, id: string, model: string, createdAt: number) {
    this._endpoint = endpoint
    const object = endpoint === 'chat' ? 'chat.completion.chunk' : 'text_completion'
    this._jsonPrefix = `{"id":${JSON.stringify(id)},"object":"${object}","created":${Math.floor(createdAt / MILLISECONDS_PER_SECOND)},"model":${JSON.stringify(model)},`
  }

  /** `createdAt` is in milliseconds since the epoch. */
  static create (endpoint: CompletionEndpoint, id: string, model: string, createdAt: number): CompletionFormat {
    return new CompletionFormat(endpoint, id, model, createdAt)
  }

  tokenEvent (position: number, token: string): string {
    const content = this._endpoint === 'chat' ? `"delta":{"content":${JSON.stringify(token)}}` : `"text":${JSON.stringify(token)}`
    return `id: ${position}\ndata: ${this._jsonPrefix}"choices":[{"index":0,${content},"finish_reason":null}]}\n\n`
  }

  lastEvents (position: number, usage: CompletionUsage): string {
    const content = this._endpoint === 'chat' ? '"delta":{}' : '"text":""'
    return `id: ${position}\ndata: ${this._jsonPrefix}"choices":[{"index":0,${content},"finish_reason":"length"}],"usage":${formatUsage(usage)}}\n\ndata: [DONE]\n\n`
  }

  completeResponse (text: string, usage: CompletionUsage): string {
    const content = this._endpoint === 'chat' ? `"message":{"role":"assistant","content":${JSON.stringify(text)}}` : `"text":${JSON.stringify(text)}`
    return `${this._jsonPrefix.replace('chat.completion.chunk', 'chat.completion')}"choices":[{"index":0,${content},"finish_reason":"length"}],"usage":${formatUsage(usage)}}`
  }
}

function formatUsage (usage: CompletionUsage): string {
  return JSON.stringify({
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  })
}
