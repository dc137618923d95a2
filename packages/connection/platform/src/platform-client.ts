import type { Failure, FailureKind } from '@currantdrift/core';
import { type HttpCall, HttpClient, type WholeAnswer } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** One call to a platform service. */
export interface PlatformCall extends Omit<HttpCall, 'progressTimeoutMs'> {
  /** Timeout of the whole call, in ms. */
  readonly timeoutMs: number;
}

const settings = {
  connectTimeoutMs: 10_000,
  highWaterBytes: 65_536,
  // Larger than the largest value and the largest list of the platform.
  maxAnswerBytes: 16_000_000,
};

/** HTTP client of one platform service. */
export class PlatformClient {
  private constructor(private readonly client: HttpClient) {}

  /** `address` is `ip:port`; `peer` names the service in failures. */
  static create(address: string, peer: string): PlatformClient {
    return new PlatformClient(HttpClient.create(address, peer, settings));
  }

  /**
   * Returns a response with status 200 or a status in `expected`. Failures: `unreachable` if no byte
   * was sent; `refused` if the service states that it did not carry out the call; `unknown` after a
   * timeout, an abort, a broken connection or a server error; `invalid` for any other response that
   * does not follow the protocol.
   */
  async call(
    { timeoutMs, ...call }: PlatformCall,
    expected: readonly number[] = [],
  ): Promise<Result<WholeAnswer, Failure>> {
    const answer = await this.client.whole(call, timeoutMs);
    return answer.andThen((received) =>
      received.status === 200 || expected.includes(received.status)
        ? ok(received)
        : err(this.client.responseFailure(call.step, received)),
    );
  }

  /** Parses the JSON body of `answer`; `invalid` if it does not match `schema`. */
  parse<T>(step: string, schema: z.ZodType<T>, answer: WholeAnswer): Result<T, Failure> {
    return this.client.parse(step, schema, answer);
  }

  failure(step: string, kind: FailureKind, message: string): Failure {
    return this.client.failure(step, kind, message);
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }
}
