import type { Clock, Failure, ServiceCallResponse } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { ClaimResult, ClaimLedger, ClaimRequest } from './claim-ledger';
import { dispatchOnce } from './dispatch';
import type { Permit } from './permit';

/** Result of a booking for its caller. */
export type BookingResult =
  | { readonly kind: 'answered'; readonly answer: ServiceCallResponse }
  /** Nothing ran; the claim was released. */
  | { readonly kind: 'not_run'; readonly message: string; readonly retryAfterMs?: number }
  /** The booking may have run. */
  | { readonly kind: 'unknown'; readonly failure: Failure }
  | Exclude<ClaimResult, { readonly kind: 'granted' }>;

/** Longest time that an answer is delayed until its outcome is in the store, in ms. */
const maxRecordWaitMs = 500;

/** Highest number of dispatch attempts; each further one requires that the last did not run. */
const maxDispatchAttempts = 3;

/** Waits until an outcome is recorded, at most `maxRecordWaitMs` and not past `deadline`. */
const waitUntilRecorded = async (
  recorded: Promise<void>,
  clock: Clock,
  deadline: number,
): Promise<void> => {
  const waitMs = Math.max(0, Math.min(maxRecordWaitMs, deadline - clock.now()));
  const done = new AbortController();
  await Promise.race([recorded, clock.sleep(waitMs, done.signal)]);
  done.abort();
};

const dispatchWithRetries = async (
  granted: Permit,
  clock: Clock,
  deadline: number,
  send: (attempt: number) => Promise<Result<ServiceCallResponse, Failure>>,
): Promise<BookingResult> => {
  let permit = granted;
  for (let attempt = 1; ; attempt += 1) {
    const ticket = permit.consume(clock.now());
    if (ticket.isErr()) return { kind: 'not_run', message: ticket.error.message };
    const dispatched = await dispatchOnce(ticket.value, () => send(attempt));
    if (dispatched.kind === 'not_run') {
      permit = dispatched.permit;
      const { message, retryAfterMs } = dispatched.failure;
      if (attempt >= maxDispatchAttempts) {
        await waitUntilRecorded(permit.release(), clock, deadline);
        return { kind: 'not_run', message, ...(retryAfterMs !== undefined && { retryAfterMs }) };
      }
      continue;
    }
    // Waiting lets a repeated request find the outcome; a store outage delays the answer by at
    // most `maxRecordWaitMs`.
    await waitUntilRecorded(dispatched.recorded, clock, deadline);
    return dispatched.kind === 'answered'
      ? { kind: 'answered', answer: dispatched.answer }
      : { kind: 'unknown', failure: dispatched.failure };
  }
};

/**
 * Claims a booking, dispatches it with `send` and records the outcome. `send` is called again only
 * after an attempt that provably did not run. A failure to record never changes the result.
 */
export const runBooking = async (
  ledger: ClaimLedger,
  clock: Clock,
  request: ClaimRequest,
  send: (attempt: number) => Promise<Result<ServiceCallResponse, Failure>>,
): Promise<BookingResult> => {
  const claimed = await ledger.claim(request, clock.now());
  return claimed.kind === 'granted'
    ? dispatchWithRetries(claimed.permit, clock, request.deadline, send)
    : claimed;
};
