import type { Failure, FailureKind } from '@currantdrift/core';
import { type HttpCall, HttpClient, type WholeAnswer } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** One call of a platform service. */
export interface PlatformCall extends Omit<HttpCall, 'progressTimeoutMs'> {
  /** Time for the whole call, in ms. */
  readonly timeoutMs: number;
}

const settings = {
  connectTimeoutMs: 10_000,
  highWaterBytes: 65_536,
  // Above the largest value and the largest list of the platform.
  maxAnswerBytes: 16_000_000,
};

/** Calls to one of the platform's services. */
export class PlatformClient {
  private constructor(private readonly client: HttpClient) {}

  /** `address` is `ip:port`; `peer` names the service in failures. */
  static create(address: string, peer: string): PlatformClient {
    return new PlatformClient(HttpClient.create(address, peer, settings));
  }

  /**
   * Answers with status 200 and those in `expected`. `unreachable`: no byte was sent. `refused`:
   * the service answered that it did not carry out the call. `unknown`: timeout, abort, broken
   * connection or server error. `invalid`: another error that does not follow the protocol.
   */
  async call(
    { timeoutMs, ...call }: PlatformCall,
    expected: readonly number[] = [],
  ): Promise<Result<WholeAnswer, Failure>> {
    const answer = await this.client.whole(call, timeoutMs);
    return answer.andThen((received) =>
      received.status === 200 || expected.includes(received.status)
        ? ok(received)
        : err(this.client.errorAnswer(call.step, received)),
    );
  }

  /** Parses the JSON body of `answer`; `invalid` if it does not match. */
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
