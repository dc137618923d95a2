import type { Clock, Failure, PlainAnswer } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { ClaimAnswer, ClaimLedger, ClaimRequest } from './claim-ledger';
import { dispatchOnce } from './dispatch';
import type { Permit } from './permit';

/** How a booking ended for its caller. */
export type BookingAnswer =
  | { readonly kind: 'answered'; readonly answer: PlainAnswer }
  /** Nothing ran; the claim was released. */
  | { readonly kind: 'not_run'; readonly message: string; readonly retryAfterMs?: number }
  /** The booking may have run. */
  | { readonly kind: 'unknown'; readonly failure: Failure }
  | Exclude<ClaimAnswer, { readonly kind: 'granted' }>;

/** Longest time that an answer waits for its record in the store, in ms. */
const recordWaitMs = 500;

/** Tries of a dispatch that provably did not happen. */
const maxDispatches = 3;

const waitFor = async (recorded: Promise<void>, clock: Clock): Promise<void> => {
  const done = new AbortController();
  await Promise.race([recorded, clock.sleep(recordWaitMs, done.signal)]);
  done.abort();
};

const dispatchWith = async (
  granted: Permit,
  clock: Clock,
  send: (attempt: number) => Promise<Result<PlainAnswer, Failure>>,
): Promise<BookingAnswer> => {
  let permit = granted;
  for (let attempt = 1; ; attempt += 1) {
    const ticket = permit.consume(clock.now());
    if (ticket.isErr()) return { kind: 'not_run', message: ticket.error.message };
    const dispatched = await dispatchOnce(ticket.value, () => send(attempt));
    if (dispatched.kind === 'not_run') {
      permit = dispatched.permit;
      const { message, retryAfterMs } = dispatched.failure;
      if (attempt >= maxDispatches) {
        await waitFor(permit.release(), clock);
        return { kind: 'not_run', message, ...(retryAfterMs !== undefined && { retryAfterMs }) };
      }
      continue;
    }
    // A repeat finds the outcome at once; an outage only delays the answer by the bound.
    await waitFor(dispatched.recorded, clock);
    return dispatched.kind === 'answered'
      ? { kind: 'answered', answer: dispatched.answer }
      : { kind: 'unknown', failure: dispatched.failure };
  }
};

/**
 * Claims a booking, dispatches it with `send` and records the outcome. `send` may be called again
 * only after a try that provably did not happen. A failure to record never changes the answer.
 */
export const runBooking = async (
  ledger: ClaimLedger,
  clock: Clock,
  request: ClaimRequest,
  send: (attempt: number) => Promise<Result<PlainAnswer, Failure>>,
): Promise<BookingAnswer> => {
  const claimed = await ledger.claim(request, clock.now());
  return claimed.kind === 'granted' ? dispatchWith(claimed.permit, clock, send) : claimed;
};
