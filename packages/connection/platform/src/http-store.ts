import {
  decodeLease,
  encodeLease,
  type Entry,
  eraOf,
  type Failure,
  FailureKind,
  type Lease,
  maxValueBytes,
  revisionInEra,
  type Store,
  StoreEra,
  type SwapResult,
  withoutEra,
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

/** Header with the number of times that the store has come back from a copy. */
const eraHeader = 'x-era';

const restoredReason = 'the store has come back from a copy';

/** An answer of the store and the era in which it was given. */
interface StoreAnswer extends WholeAnswer {
  readonly era: number;
}

/**
 * The platform's store over HTTP. Values are sent as raw bytes, revisions in `x-revision`. Its revisions and
 * leases are combined with its era, which rises when it comes back from a copy.
 */
export class HttpStore implements Store {
  private readonly era = StoreEra.create();

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
    return answer.andThen((received) =>
      this.client
        .parse(step, listSchema, received)
        .map(({ entries }) =>
          entries.map((one) => ({ ...one, revision: revisionInEra(received.era, one.revision) })),
        ),
    );
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
    const lease = leaseId === undefined ? undefined : decodeLease(leaseId);
    if (lease !== undefined && lease.era < this.era.current) {
      return err(this.client.failure(step, FailureKind.refused, restoredReason));
    }
    // The store may have given the revision to another value.
    if (revision !== 0 && eraOf(revision) < this.era.current) return this.conflict(key);
    const parameters = { key, revision: withoutEra(revision), lease: lease?.id };
    const path = `/v1/entry?${queryString(parameters)}`;
    const answer =
      value === undefined
        ? await this.call(step, 'DELETE', path)
        : await this.call(step, 'PUT', path, {
            body: value,
            headers: { 'content-type': 'application/octet-stream' },
          });
    if (answer.isErr()) return err(answer.error);
    const { era, status } = answer.value;
    if (status === conflictStatus) {
      return this.entry(step, key, answer.value).map((current) => ({ kind: 'conflict', current }));
    }
    const done = this.client.parse(step, swapSchema, answer.value);
    if (done.isErr()) return err(done.error);
    const swapped = revisionInEra(era, done.value.revision);
    if (lease !== undefined && lease.era !== era) return this.undo(key, swapped);
    const isOtherRevision = revision !== 0 && eraOf(revision) !== era;
    return isOtherRevision ? err(this.restored(step)) : ok({ kind: 'swapped', revision: swapped });
  }

  /** Aborting `signal` ends the call with an `unknown` or `unreachable` failure. */
  async watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>> {
    const step = 'store.watch';
    // In another era the store may have given the revision out again.
    if (revision !== 0 && eraOf(revision) < this.era.current) return this.get(key);
    const answer = await this.call(
      step,
      'GET',
      `/v1/watch?${queryString({ key, revision: withoutEra(revision), waitMs })}`,
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
    return answer.andThen((received) => this.lease(step, received));
  }

  async renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    const step = 'store.renewLease';
    const { era, id } = decodeLease(leaseId);
    const ended = () => err(this.client.failure(step, FailureKind.refused, restoredReason));
    // In another era the store may have granted the id to another process.
    if (era < this.era.current) return ended();
    const path = `/v1/leases/${encodeURIComponent(id)}/renew`;
    const answer = await this.call(step, 'POST', path);
    if (answer.isOk() && answer.value.era !== era) return ended();
    return answer.andThen((received) => this.lease(step, received));
  }

  async revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    const { era, id } = decodeLease(leaseId);
    if (era < this.era.current) return ok(undefined);
    const path = `/v1/leases/${encodeURIComponent(id)}`;
    const answer = await this.call('store.revokeLease', 'DELETE', path);
    return answer.map(() => undefined);
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  /** Reads what a swap with a revision of an earlier era conflicts with. */
  private async conflict(key: string): Promise<Result<SwapResult, Failure>> {
    const current = await this.get(key);
    return current.map((entry) => ({ kind: 'conflict', current: entry }));
  }

  /** Removes an entry that was written under a lease which belongs to another process by now. */
  private async undo(key: string, revision: number): Promise<Result<SwapResult, Failure>> {
    const removed = await this.compareAndSwap(key, revision, undefined);
    return err(removed.isErr() ? removed.error : this.restored('store.compareAndSwap'));
  }

  private restored(step: string): Failure {
    return this.client.failure(step, FailureKind.unknown, restoredReason);
  }

  private async call(
    step: string,
    method: string,
    path: string,
    options: Partial<PlatformCall> = {},
  ): Promise<Result<StoreAnswer, Failure>> {
    const call = { step, method, path, timeoutMs: this.timeoutMs, ...options };
    const answer = await this.client.call(call, [conflictStatus]);
    return answer.map((received) => ({
      ...received,
      era: this.era.observe(received.headers[eraHeader]),
    }));
  }

  private lease(step: string, answer: StoreAnswer): Result<Lease, Failure> {
    return this.client
      .parse(step, leaseSchema, answer)
      .map(({ id, ttlMs }) => ({ id: encodeLease({ era: answer.era, id }), ttlMs }));
  }

  private entry(
    step: string,
    key: string,
    answer: StoreAnswer,
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
    const combined = revisionInEra(answer.era, revision.data);
    return ok({ key, value: new Uint8Array(answer.body), revision: combined });
  }
}
