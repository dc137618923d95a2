import type { Clock, Failure, PlainAnswer } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { ClaimAnswer, ClaimLedger, ClaimRequest } from './claim-ledger';
import { dispatchOnce } from './dispatch';
import type { Permit } from './permit';

/** How a booking ended for its caller. */
export type BookingResult =
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

/** Waits for a record, but not beyond the time at which the caller must have its answer. */
const waitFor = async (recorded: Promise<void>, clock: Clock, deadline: number): Promise<void> => {
  const waitMs = Math.max(0, Math.min(recordWaitMs, deadline - clock.now()));
  const done = new AbortController();
  await Promise.race([recorded, clock.sleep(waitMs, done.signal)]);
  done.abort();
};

const dispatchWith = async (
  granted: Permit,
  clock: Clock,
  deadline: number,
  send: (attempt: number) => Promise<Result<PlainAnswer, Failure>>,
): Promise<BookingResult> => {
  let permit = granted;
  for (let attempt = 1; ; attempt += 1) {
    const ticket = permit.consume(clock.now());
    if (ticket.isErr()) return { kind: 'not_run', message: ticket.error.message };
    const dispatched = await dispatchOnce(ticket.value, () => send(attempt));
    if (dispatched.kind === 'not_run') {
      permit = dispatched.permit;
      const { message, retryAfterMs } = dispatched.failure;
      if (attempt >= maxDispatches) {
        await waitFor(permit.release(), clock, deadline);
        return { kind: 'not_run', message, ...(retryAfterMs !== undefined && { retryAfterMs }) };
      }
      continue;
    }
    // A repeat finds the outcome at once; an outage delays the answer by the bound at most.
    await waitFor(dispatched.recorded, clock, deadline);
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
): Promise<BookingResult> => {
  const claimed = await ledger.claim(request, clock.now());
  return claimed.kind === 'granted'
    ? dispatchWith(claimed.permit, clock, request.deadline, send)
    : claimed;
};
