import {
  type Clock,
  type Failure,
  type ServiceCallResponse,
  type ServiceCallRequest,
  SeededRandom,
  type Store,
} from '@currantdrift/core';
import { MemoryStore, StoreHandle, VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import { type BookingResult, ClaimLedger, type ClaimLedgerOptions, runBooking } from '../src';

/** Seed of the property tests; fuzz runs set `FUZZ_SEED`. */
export const seed = Number(process.env.FUZZ_SEED ?? 1);

export const callOf = (body: string): ServiceCallRequest => ({
  requestId: 'r',
  service: 'deposits',
  call: 'take',
  method: 'POST',
  query: '',
  contentType: 'application/json',
  body: Buffer.from(body),
});

export const answerOf = (text: string, status = 201): ServiceCallResponse => ({
  status,
  contentType: 'application/json',
  body: Buffer.from(text),
});

/** Pauses or kills a simulated process at its asynchronous steps. */
export class ProcessGate {
  steps = 0;

  killAt = Infinity;

  private resumed: Promise<void> = Promise.resolve();

  async pass(): Promise<void> {
    this.steps += 1;
    if (this.steps > this.killAt) await new Promise(() => {});
    await this.resumed;
  }

  pause(clock: Clock, ms: number): void {
    this.resumed = Promise.all([this.resumed, clock.sleep(ms)]).then(() => {});
  }
}

/** Time from the timeout of a delayed write until it takes effect, in ms. */
const delayedWriteMs = 30;

/**
 * Wraps a store so that each call passes the gate before and after it. A write for which `isDelayed`
 * returns true times out and takes effect only afterwards.
 */
const gatedStore = (
  store: Store,
  gate: ProcessGate,
  clock: Clock,
  isDelayed: () => boolean,
): Store => {
  const gated = async <T>(call: () => Promise<T>): Promise<T> => {
    await gate.pass();
    const result = await call();
    await gate.pass();
    return result;
  };
  return {
    ...store,
    get: (key) => gated(() => store.get(key)),
    compareAndSwap: (...args) =>
      gated(async () => {
        if (!isDelayed()) return store.compareAndSwap(...args);
        clock
          .sleep(delayedWriteMs)
          .then(() => store.compareAndSwap(...args))
          .catch(() => {});
        return err({ kind: 'unknown', step: 'store', peer: 'store', message: 'timeout' });
      }),
  };
};

/** A booking that the service has run. */
export interface ServiceRun {
  readonly key: string;
  readonly request: number;
  readonly at: number;
  readonly answer: ServiceCallResponse;
}

/**
 * `lost`: the service runs the booking, and its answer is lost. `lost_before`: the request is lost
 * before the service runs it; the daemon cannot tell this from `lost`.
 */
export type SendBehavior = 'ok' | 'unreachable' | 'lost' | 'lost_before';

/** Daemons that share one store and dispatch bookings to one service. */
export class TestCluster {
  readonly clock = VirtualClock.create(1_000_000);

  readonly store = MemoryStore.create(this.clock);

  readonly runs: ServiceRun[] = [];

  /** Time until a request's deadline, in ms. */
  requestTimeoutMs = 5_000;

  private nonces = 0;

  daemon(name: string, options: Partial<ClaimLedgerOptions> = {}, isDelayed = () => false) {
    const gate = new ProcessGate();
    const handle = StoreHandle.create(this.store, this.clock);
    const clock: Clock = {
      now: () => this.clock.now(),
      sleep: async (ms, signal) => {
        await this.clock.sleep(ms, signal);
        await gate.pass();
      },
    };
    const ledger = ClaimLedger.create({
      store: gatedStore(handle, gate, this.clock, isDelayed),
      clock,
      dispatcher: name,
      random: SeededRandom.create(name.charCodeAt(0)),
      nonce: () => {
        this.nonces += 1;
        return `nonce-${this.nonces}`;
      },
      ...options,
    });
    const book = async (
      key: string,
      body: string,
      request = 0,
      behavior: SendBehavior = 'ok',
    ): Promise<BookingResult> => {
      await gate.pass();
      const deadline = this.clock.now() + this.requestTimeoutMs;
      const claim = { caller: 'hall', key, call: callOf(body), deadline };
      return runBooking(ledger, clock, claim, () => this.send(key, request, behavior, gate));
    };
    return { name, gate, faults: handle.faults, ledger, book };
  }

  /** The service, which runs every request that reaches it, including repeated ones. */
  private async send(
    key: string,
    request: number,
    behavior: SendBehavior,
    gate: ProcessGate,
  ): Promise<Result<ServiceCallResponse, Failure>> {
    const failure = { step: 'send', peer: 'service', message: behavior };
    if (behavior === 'unreachable') return err({ ...failure, kind: 'unreachable' });
    const answer = answerOf(`${key} booked by ${request}`);
    if (behavior !== 'lost_before') {
      this.runs.push({ key, request, at: this.clock.now(), answer });
    }
    await gate.pass();
    return behavior === 'ok' ? ok(answer) : err({ ...failure, kind: 'unknown' });
  }
}
