import { type Failure, FailureKind } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import { z } from 'zod';
import { Exchange, type HttpAnswer } from './exchange';

/** One HTTP call. */
export interface HttpCall {
  /** Name of the call in failures, for example `store.get`. */
  readonly step: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Time for the whole call, in ms. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const refusal = z.object({
  error: z.object({
    message: z.string(),
    outcome: z.literal('not_run'),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
});

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
};

/** Calls to one HTTP server. A call that times out also retires the other open connections. */
export class HttpClient {
  private pool: Pool;

  private constructor(
    private readonly origin: string,
    readonly peer: string,
  ) {
    this.pool = HttpClient.openPool(origin);
  }

  /** `address` is `ip:port`; `peer` names the server in failures. */
  static create(address: string, peer: string): HttpClient {
    return new HttpClient(`http://${address}`, peer);
  }

  private static openPool(origin: string): Pool {
    // Each call has its own timer; those of undici would report less.
    return new Pool(origin, { headersTimeout: 0, bodyTimeout: 0, connectTimeout: 10_000 });
  }

  /**
   * Answers with status 200 and those in `expected`. `unreachable`: no byte was sent. `refused`:
   * the server answered that it did not carry out the call. `unknown`: timeout, abort, broken
   * connection or server error. `invalid`: another error that does not follow the protocol.
   */
  async call(
    call: HttpCall,
    expected: readonly number[] = [],
  ): Promise<Result<HttpAnswer, Failure>> {
    const answer = await this.exchange(call);
    return answer.andThen((received) =>
      received.status === 200 || expected.includes(received.status)
        ? ok(received)
        : err(this.errorAnswer(call.step, received)),
    );
  }

  /** Parses the JSON body of `answer`; `invalid` if it does not match. */
  parse<T>(step: string, schema: z.ZodType<T>, answer: HttpAnswer): Result<T, Failure> {
    const parsed = schema.safeParse(parseJson(answer.body));
    return parsed.success
      ? ok(parsed.data)
      : err(this.failure(step, FailureKind.invalid, z.prettifyError(parsed.error)));
  }

  failure(step: string, kind: FailureKind, message: string, retryAfterMs?: number): Failure {
    const failure: Failure = { kind, step, peer: this.peer, message };
    return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs };
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.pool.close();
  }

  private exchange(call: HttpCall): Promise<Result<HttpAnswer, Failure>> {
    const { pool } = this;
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      let onAbort: () => void = () => {};
      const finish = (result: Result<HttpAnswer, Failure>) => {
        clearTimeout(timer);
        call.signal?.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const exchange: Exchange = Exchange.create(
        (answer) => finish(ok(answer)),
        (error) => {
          const kind = exchange.sent ? FailureKind.unknown : FailureKind.unreachable;
          finish(err(this.failure(call.step, kind, error.message)));
        },
      );
      onAbort = () => exchange.stop(new Error('the call was aborted'));
      timer = setTimeout(() => {
        exchange.stop(new Error(`no answer in ${call.timeoutMs} ms`));
        this.renew(pool);
      }, call.timeoutMs);
      if (call.signal?.aborted) {
        onAbort();
        return;
      }
      call.signal?.addEventListener('abort', onAbort, { once: true });
      pool.dispatch(
        {
          path: call.path,
          method: call.method,
          headers: call.headers,
          body: call.body === undefined ? null : Buffer.from(call.body),
        },
        exchange,
      );
    });
  }

  /** Open connections can all be silent while new ones work, so later calls open new ones. */
  private renew(pool: Pool): void {
    if (this.pool !== pool) return;
    this.pool = HttpClient.openPool(this.origin);
    pool.close().catch(() => {});
  }

  private errorAnswer(step: string, answer: HttpAnswer): Failure {
    const stated = refusal.safeParse(parseJson(answer.body));
    if (stated.success) {
      const { message, retryAfterMs } = stated.data.error;
      return this.failure(step, FailureKind.refused, message, retryAfterMs);
    }
    const kind = answer.status >= 500 ? FailureKind.unknown : FailureKind.invalid;
    return this.failure(step, kind, `status ${answer.status} that does not state an outcome`);
  }
}
