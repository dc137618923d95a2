import {
  type Clock,
  type Failure,
  type PlainAnswer,
  type PlainCall,
  SeededRandom,
  type Store,
} from '@currantdrift/core';
import { MemoryStore, StoreHandle, VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import { type BookingResult, ClaimLedger, type ClaimLedgerOptions, runBooking } from '../src';

/** Seed of the property tests; a fuzz run sets others. */
export const seed = Number(process.env.FUZZ_SEED ?? 1);

export const callOf = (body: string): PlainCall => ({
  requestId: 'r',
  service: 'deposits',
  call: 'take',
  method: 'POST',
  query: '',
  contentType: 'application/json',
  body: Buffer.from(body),
});

export const answerOf = (text: string, status = 201): PlainAnswer => ({
  status,
  contentType: 'application/json',
  body: Buffer.from(text),
});

/** Stops a process for a time or for good at the points where it waits. */
export class Gate {
  steps = 0;

  killAt = Infinity;

  private opens: Promise<void> = Promise.resolve();

  async pass(): Promise<void> {
    this.steps += 1;
    if (this.steps > this.killAt) await new Promise(() => {});
    await this.opens;
  }

  freeze(clock: Clock, ms: number): void {
    this.opens = Promise.all([this.opens, clock.sleep(ms)]).then(() => {});
  }
}

/** A stray write takes effect this long after its answer was given up, in ms. */
const strayMs = 30;

/** `isStray` decides whether the answer of a write is given up before the write takes effect. */
const gatedStore = (store: Store, gate: Gate, clock: Clock, isStray: () => boolean): Store => {
  const gated = async <T>(call: () => Promise<T>): Promise<T> => {
    await gate.pass();
    const result = await call();
    await gate.pass();
    return result;
  };
  return {
    ...store,
    get: (key) => gated(() => store.get(key)),
    compareAndSwap: (...values) =>
      gated(async () => {
        if (!isStray()) return store.compareAndSwap(...values);
        clock
          .sleep(strayMs)
          .then(() => store.compareAndSwap(...values))
          .catch(() => {});
        return err({ kind: 'unknown', step: 'store', peer: 'store', message: 'timeout' });
      }),
  };
};

/** A booking that the service carried out. */
export interface Run {
  readonly key: string;
  readonly request: number;
  readonly at: number;
  readonly answer: PlainAnswer;
}

export type Sending = 'ok' | 'unreachable' | 'lost' | 'lost_before';

/** Daemons on one store that book at one service. */
export class World {
  readonly clock = VirtualClock.create(1_000_000);

  readonly store = MemoryStore.create(this.clock);

  readonly runs: Run[] = [];

  /** Time that a request gives its claim, in ms. */
  patienceMs = 5_000;

  private nonces = 0;

  daemon(name: string, options: Partial<ClaimLedgerOptions> = {}, isStray = () => false) {
    const gate = new Gate();
    const handle = StoreHandle.create(this.store, this.clock);
    const clock: Clock = {
      now: () => this.clock.now(),
      sleep: async (ms, signal) => {
        await this.clock.sleep(ms, signal);
        await gate.pass();
      },
    };
    const ledger = ClaimLedger.create({
      store: gatedStore(handle, gate, this.clock, isStray),
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
      sending: Sending = 'ok',
    ): Promise<BookingResult> => {
      await gate.pass();
      const deadline = this.clock.now() + this.patienceMs;
      const claim = { caller: 'hall', key, call: callOf(body), deadline };
      return runBooking(ledger, clock, claim, () => this.send(key, request, sending, gate));
    };
    return { name, gate, faults: handle.faults, ledger, book };
  }

  /** The service: it runs what reaches it, also what it ran before. */
  private async send(
    key: string,
    request: number,
    sending: Sending,
    gate: Gate,
  ): Promise<Result<PlainAnswer, Failure>> {
    const failure = { step: 'send', peer: 'service', message: sending };
    if (sending === 'unreachable') return err({ ...failure, kind: 'unreachable' });
    const answer = answerOf(`${key} booked by ${request}`);
    if (sending !== 'lost_before') {
      this.runs.push({ key, request, at: this.clock.now(), answer });
    }
    await gate.pass();
    return sending === 'ok' ? ok(answer) : err({ ...failure, kind: 'unknown' });
  }
}
