import {
  type Entry,
  type Failure,
  FailureKind,
  type Lease,
  maxValueBytes,
  type Store,
  type SwapResult,
} from '@currantdrift/core';
import type { WholeAnswer } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type PlatformCall, PlatformClient } from './platform-client';

export interface HttpStoreSettings {
  /** `ip:port` of the store. */
  readonly address: string;
  /** Timeout of one call, in ms; default 1000. For a watch it is added to the wait. */
  readonly timeoutMs?: number;
}

const defaultTimeoutMs = 1000;

/** Status of a response that carries the current entry because the revision differed. */
const conflictStatus = 412;

const revisionSchema = z.number().int().nonnegative();
const swapSchema = z.object({ revision: revisionSchema.positive() });
const listSchema = z.object({
  entries: z.array(z.object({ key: z.string(), revision: revisionSchema })),
});
const leaseSchema = z.object({ id: z.string().min(1), ttlMs: z.number().positive() });
const revisionHeaderSchema = z.string().regex(/^\d+$/).transform(Number).pipe(revisionSchema);

const queryString = (values: Readonly<Record<string, string | number | undefined>>): string => {
  const parameters = new URLSearchParams();
  Object.entries(values).forEach(([name, value]) => {
    if (value !== undefined) parameters.set(name, String(value));
  });
  return parameters.toString();
};

/** The platform's store over HTTP. Values are sent as raw bytes, revisions in `x-revision`. */
export class HttpStore implements Store {
  private constructor(
    private readonly client: PlatformClient,
    private readonly timeoutMs: number,
  ) {}

  static create(settings: HttpStoreSettings): HttpStore {
    const client = PlatformClient.create(settings.address, `store ${settings.address}`);
    return new HttpStore(client, settings.timeoutMs ?? defaultTimeoutMs);
  }

  async get(key: string): Promise<Result<Entry | undefined, Failure>> {
    const answer = await this.call('store.get', 'GET', `/v1/entry?${queryString({ key })}`);
    return answer.andThen((received) => this.entry('store.get', key, received));
  }

  async list(
    prefix: string,
  ): Promise<Result<readonly { key: string; revision: number }[], Failure>> {
    const step = 'store.list';
    const answer = await this.call(step, 'GET', `/v1/entries?${queryString({ prefix })}`);
    return answer
      .andThen((received) => this.client.parse(step, listSchema, received))
      .map(({ entries }) => entries);
  }

  async compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>> {
    const step = 'store.compareAndSwap';
    if (value !== undefined && value.length > maxValueBytes) {
      const message = `value of ${value.length} bytes exceeds the limit of ${maxValueBytes} bytes`;
      return err(this.client.failure(step, FailureKind.refused, message));
    }
    const path = `/v1/entry?${queryString({ key, revision, lease: leaseId })}`;
    const answer =
      value === undefined
        ? await this.call(step, 'DELETE', path)
        : await this.call(step, 'PUT', path, {
            body: value,
            headers: { 'content-type': 'application/octet-stream' },
          });
    return answer.andThen((received): Result<SwapResult, Failure> =>
      received.status === conflictStatus
        ? this.entry(step, key, received).map((current) => ({ kind: 'conflict', current }))
        : this.client
            .parse(step, swapSchema, received)
            .map((swapped) => ({ kind: 'swapped', revision: swapped.revision })),
    );
  }

  /** Aborting `signal` ends the call with an `unknown` or `unreachable` failure. */
  async watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>> {
    const step = 'store.watch';
    const answer = await this.call(
      step,
      'GET',
      `/v1/watch?${queryString({ key, revision, waitMs })}`,
      {
        timeoutMs: waitMs + this.timeoutMs,
        signal,
      },
    );
    return answer.andThen((received) => this.entry(step, key, received));
  }

  async grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    const step = 'store.grantLease';
    const answer = await this.call(step, 'POST', '/v1/leases', {
      body: JSON.stringify({ ttlMs }),
      headers: { 'content-type': 'application/json' },
    });
    return answer.andThen((received) => this.client.parse(step, leaseSchema, received));
  }

  async renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    const step = 'store.renewLease';
    const path = `/v1/leases/${encodeURIComponent(leaseId)}/renew`;
    const answer = await this.call(step, 'POST', path);
    return answer.andThen((received) => this.client.parse(step, leaseSchema, received));
  }

  async revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
    const answer = await this.call('store.revokeLease', 'DELETE', path);
    return answer.map(() => undefined);
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  private call(
    step: string,
    method: string,
    path: string,
    options: Partial<PlatformCall> = {},
  ): Promise<Result<WholeAnswer, Failure>> {
    return this.client.call({ step, method, path, timeoutMs: this.timeoutMs, ...options }, [
      conflictStatus,
    ]);
  }

  private entry(
    step: string,
    key: string,
    answer: WholeAnswer,
  ): Result<Entry | undefined, Failure> {
    const revision = revisionHeaderSchema.safeParse(answer.headers['x-revision']);
    if (!revision.success) {
      return err(
        this.client.failure(
          step,
          FailureKind.invalid,
          'the response has no valid x-revision header',
        ),
      );
    }
    if (revision.data === 0) return ok(undefined);
    return ok({ key, value: new Uint8Array(answer.body), revision: revision.data });
  }
}
