import { setMaxListeners } from 'node:events';
import { type Failure, FailureKind } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { buildConnector, Pool } from 'undici';
import { z } from 'zod';
import { Exchange, type Head } from './exchange';
import { errorSchema, parseJson } from './json';
import { reportResets } from './reset-detection';
import type { ByteBudget, HeldBytes } from './byte-budget';
import type { HttpSettings } from './settings';

/** One HTTP request. */
export interface HttpCall {
  /** Name of the call in failures, for example `store.get`. */
  readonly step: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Longest time without data from the server, in ms. */
  readonly progressTimeoutMs: number;
  /** Aborting it closes the connection. */
  readonly signal?: AbortSignal;
  /**
   * Called when a connection is ready for the request; if it returns false, nothing is sent. For requests
   * that may have become invalid meanwhile, for example while this process was suspended.
   */
  readonly maySend?: () => boolean;
}

/** A request whose response is read completely. */
export type WholeCall = Omit<HttpCall, 'progressTimeoutMs'> & Partial<HttpCall>;

/**
 * Creates a connector whose connections report resets as errors. For a response without a length,
 * undici treats a reset as the end, although the server may have been cut off in the middle.
 */
const connectorReportingResets = ({
  connectTimeoutMs,
  mayUse,
}: HttpSettings): buildConnector.connector => {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [failed, socket] = result;
      if (failed === null && mayUse?.() === false) {
        socket?.destroy();
        callback(new Error('the connection was rejected by mayUse'), null);
        return;
      }
      if (socket !== null && socket !== undefined) reportResets(socket);
      callback(...result);
    });
  };
};

/** Bounds of the statuses of final responses (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxStatus = 599;

/** A response whose body has not been read yet. */
export interface OpenAnswer extends Head {
  readonly exchange: Exchange;
}

export interface WholeAnswer extends Head {
  readonly body: Buffer;
}

const totalLimitReason = ({ limitBytes }: ByteBudget): string =>
  `the responses being read exceed ${limitBytes} bytes in total`;

/** The part of a body that has been read so far. */
interface PartialBody {
  readonly chunks: Buffer[];
  size: number;
  /** Bytes that are held of it: its stated length, if there is one, from the start. */
  heldBytes: number;
  /** The part's share of the budget for all responses, if there is one. */
  readonly held: HeldBytes | undefined;
}

/** HTTP client of one server. After a timeout, later requests use new connections. */
export class HttpClient {
  private pool: Pool;

  private constructor(
    private readonly origin: string,
    private readonly peer: string,
    private readonly settings: HttpSettings,
  ) {
    this.pool = this.openPool();
  }

  /** `address` is `ip:port`; `peer` names the server in failures. */
  static create(address: string, peer: string, settings: HttpSettings): HttpClient {
    return new HttpClient(`http://${address}`, peer, settings);
  }

  /**
   * Sends the request and waits for the status and headers of its response, whatever the status. A number
   * outside the statuses of final responses (RFC 9110) fails as `unknown`: the request may have run.
   */
  async open(call: HttpCall): Promise<Result<OpenAnswer, Failure>> {
    const exchange = this.dispatch(call);
    const head = await exchange.head();
    if (head.isErr()) return err(this.exchangeFailure(call.step, exchange, head.error.message));
    const { status } = head.value;
    if (status < minFinalStatus || status > maxStatus) {
      const message = `${status} is not the status of a final response`;
      exchange.stop(new Error(message));
      return err(this.failure(call.step, FailureKind.unknown, message));
    }
    return ok({ ...head.value, exchange });
  }

  /**
   * Sends the request and waits at most `timeoutMs` for its complete response, whatever the status.
   * The progress timeout is `timeoutMs` too unless the call sets it.
   */
  async whole(call: WholeCall, timeoutMs: number): Promise<Result<WholeAnswer, Failure>> {
    const deadline = new AbortController();
    const onAbort = () => deadline.abort(call.signal?.reason);
    if (call.signal !== undefined) setMaxListeners(0, call.signal);
    call.signal?.addEventListener('abort', onAbort, { once: true });
    if (call.signal?.aborted) onAbort();
    const { pool } = this;
    const timer = setTimeout(() => {
      deadline.abort(new Error(`no complete response within ${timeoutMs} ms`));
      this.replacePool(pool);
    }, timeoutMs);
    const opened = await this.open({
      progressTimeoutMs: timeoutMs,
      ...call,
      signal: deadline.signal,
    });
    const answer = opened.isErr() ? err(opened.error) : await this.body(call.step, opened.value);
    clearTimeout(timer);
    call.signal?.removeEventListener('abort', onAbort);
    return answer;
  }

  /** Reads the body of an open response. */
  async body(step: string, answer: OpenAnswer): Promise<Result<WholeAnswer, Failure>> {
    const { heldBytes } = this.settings;
    const chunks: Buffer[] = [];
    const held = heldBytes?.hold(() => {
      chunks.length = 0;
      answer.exchange.stop(new Error(totalLimitReason(heldBytes)));
    });
    const read = await this.readBody(step, answer, { chunks, size: 0, heldBytes: 0, held });
    held?.release();
    return read;
  }

  private async readBody(
    step: string,
    { exchange, status, headers }: OpenAnswer,
    partial: PartialBody,
  ): Promise<Result<WholeAnswer, Failure>> {
    const refusal = this.reserve(Number(headers['content-length'] ?? 0), partial);
    if (refusal !== undefined) {
      exchange.stop(new Error(refusal));
      return err(this.failure(step, FailureKind.invalid, refusal));
    }
    for (;;) {
      const read = await exchange.read();
      if (read.isErr()) return err(this.exchangeFailure(step, exchange, read.error.message));
      const { value: chunk } = read;
      if (chunk === undefined) return ok({ status, headers, body: Buffer.concat(partial.chunks) });
      const exceededLimit = this.appendChunk(chunk, partial);
      if (exceededLimit !== undefined) {
        exchange.stop(new Error(exceededLimit));
        return err(this.failure(step, FailureKind.invalid, exceededLimit));
      }
    }
  }

  /** Holds the stated length of a body, so that it is not begun in vain; returns a message on failure. */
  private reserve(statedBytes: number, partial: PartialBody): string | undefined {
    return this.holdUpTo(Math.min(statedBytes, this.settings.maxAnswerBytes), partial);
  }

  /** Holds `size` bytes of a body if it holds less; returns a message if the total is exceeded. */
  private holdUpTo(size: number, received: PartialBody): string | undefined {
    const partial = received;
    const { heldBytes } = this.settings;
    partial.held?.touch();
    if (heldBytes === undefined || size <= partial.heldBytes) return undefined;
    if (partial.held?.resize(size) === false) return totalLimitReason(heldBytes);
    partial.heldBytes = size;
    return undefined;
  }

  /** Appends a chunk to a partial body; returns a message if a size limit is exceeded. */
  private appendChunk(chunk: Buffer, received: PartialBody): string | undefined {
    const partial = received;
    const { maxAnswerBytes } = this.settings;
    if (partial.size + chunk.length > maxAnswerBytes) {
      return `the response exceeds ${maxAnswerBytes} bytes`;
    }
    const exceededTotal = this.holdUpTo(partial.size + chunk.length, partial);
    if (exceededTotal !== undefined) return exceededTotal;
    partial.chunks.push(chunk);
    partial.size += chunk.length;
    return undefined;
  }

  /** Parses the JSON body of `answer`; `invalid` if it does not match `schema`. */
  parse<T>(step: string, schema: z.ZodType<T>, answer: WholeAnswer): Result<T, Failure> {
    if (answer.status !== 200) return err(this.responseFailure(step, answer));
    const parsed = schema.safeParse(parseJson(answer.body.toString('utf8')));
    return parsed.success
      ? ok(parsed.data)
      : err(this.failure(step, FailureKind.invalid, z.prettifyError(parsed.error)));
  }

  /** The failure that an error body states; undefined if there is no valid error body. */
  reportedFailure(step: string, answer: WholeAnswer): Failure | undefined {
    if (answer.status < 400) return undefined;
    const reported = errorSchema.safeParse(parseJson(answer.body.toString('utf8')));
    if (!reported.success) return undefined;
    const { message, outcome, retryAfterMs } = reported.data.error;
    const kind = outcome === 'not_run' ? FailureKind.refused : FailureKind.unknown;
    return this.failure(step, kind, message, retryAfterMs);
  }

  /** The failure for a response with an unexpected status. */
  responseFailure(step: string, answer: WholeAnswer): Failure {
    const kind = answer.status >= 500 ? FailureKind.unknown : FailureKind.invalid;
    const message = `status ${answer.status} without a stated outcome`;
    return this.reportedFailure(step, answer) ?? this.failure(step, kind, message);
  }

  /** The failure for an exchange that broke; `unreachable` if no byte was sent. */
  exchangeFailure(step: string, exchange: Exchange, message: string): Failure {
    const kind = exchange.sent ? FailureKind.unknown : FailureKind.unreachable;
    return this.failure(step, kind, message);
  }

  failure(step: string, kind: FailureKind, message: string, retryAfterMs?: number): Failure {
    const failure: Failure = { kind, step, peer: this.peer, message };
    return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs };
  }

  /** Waits for requests in flight, then closes the connections. */
  close(): Promise<void> {
    return this.pool.close();
  }

  private dispatch(call: HttpCall): Exchange {
    const { pool } = this;
    const { progressTimeoutMs, signal, maySend } = call;
    const { highWaterBytes } = this.settings;
    let onAbort: () => void = () => {};
    const exchange: Exchange = Exchange.create(
      { progressTimeoutMs, highWaterBytes, maySend },
      () => {
        signal?.removeEventListener('abort', onAbort);
        if (exchange.timedOut) this.replacePool(pool);
      },
    );
    onAbort = () => {
      const reason: unknown = signal?.reason;
      exchange.stop(reason instanceof Error ? reason : new Error('the call was aborted'));
    };
    if (signal?.aborted) {
      onAbort();
      return exchange;
    }
    if (signal !== undefined) {
      // Many calls may share a signal; each removes its listener when it finishes.
      setMaxListeners(0, signal);
      signal.addEventListener('abort', onAbort, { once: true });
    }
    const body = call.body ?? null;
    pool.dispatch({ path: call.path, method: call.method, headers: call.headers, body }, exchange);
    return exchange;
  }

  private openPool(): Pool {
    const { singleUse } = this.settings;
    // Each exchange has its own timer, which does not run while reading is paused.
    return new Pool(this.origin, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: connectorReportingResets(this.settings),
      // With `pipelining: 0`, undici closes each connection after its first response.
      pipelining: singleUse === true ? 0 : 1,
    });
  }

  /**
   * Makes later requests open new connections: after a timeout, all open connections may be dead
   * while new ones work.
   */
  private replacePool(pool: Pool): void {
    if (this.pool !== pool) return;
    this.pool = this.openPool();
    pool.close().catch(() => {});
  }
}
