import { request } from 'undici';

/** A streamed answer as a caller received it. */
export interface StreamedAnswer {
  readonly status: number;
  readonly text: string;
  /** The end marker `[DONE]` came. */
  readonly whole: boolean;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

export interface CallAnswer {
  readonly status: number;
  readonly text: string;
  readonly replayed: boolean;
  readonly totalMs: number;
}

const contentOf = (line: string): string => {
  const parsed = JSON.parse(line.slice('data: '.length));
  return parsed.choices?.[0]?.delta?.content ?? '';
};

/** A caller of a deployment. */
export class CallerClient {
  private constructor(
    private readonly url: string,
    private readonly key: string,
  ) {}

  /** `url` is a daemon's callers' port. */
  static create(url: string, key: string): CallerClient {
    return new CallerClient(url, key);
  }

  /** Sends a chat request and reads its stream. */
  async chat(model: string, prompt: string, maxTokens = 64): Promise<StreamedAnswer> {
    const start = performance.now();
    const body = {
      model,
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: prompt }],
    };
    const response = await request(`${this.url}/v1/chat/completions`, {
      method: 'POST',
      headers: this.headers({ 'Content-Type': 'application/json' }),
      body: JSON.stringify(body),
      bodyTimeout: 120_000,
      headersTimeout: 120_000,
    });
    if (response.statusCode !== 200) {
      const text = await response.body.text();
      const totalMs = performance.now() - start;
      return { status: response.statusCode, text, whole: false, firstTokenMs: totalMs, totalMs };
    }
    let firstTokenMs = 0;
    let received = '';
    for await (const chunk of response.body) {
      if (firstTokenMs === 0) firstTokenMs = performance.now() - start;
      received += String(chunk);
    }
    const lines = received.split('\n').filter((line) => line.startsWith('data: '));
    const whole = lines.at(-1) === 'data: [DONE]';
    const text = lines
      .slice(0, whole ? -1 : undefined)
      .map(contentOf)
      .join('');
    return { status: 200, text, whole, firstTokenMs, totalMs: performance.now() - start };
  }

  /** Calls a plain service. */
  async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    idempotencyKey?: string,
  ): Promise<CallAnswer> {
    const start = performance.now();
    const extra: Record<string, string> = { 'Content-Type': 'application/json' };
    if (idempotencyKey !== undefined) extra['Idempotency-Key'] = idempotencyKey;
    const response = await request(`${this.url}/v1/services/${path}`, {
      method,
      headers: this.headers(extra),
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return {
      status: response.statusCode,
      text: await response.body.text(),
      replayed: response.headers['idempotent-replayed'] === 'true',
      totalMs: performance.now() - start,
    };
  }

  private headers(extra: Record<string, string>): Record<string, string> {
    return { Authorization: `Bearer ${this.key}`, ...extra };
  }
}
