/** Codes of errors that callers see; docs/callers.md explains each. */
export const RefusalCode = {
  noBundle: 'no_bundle',
  unknownItem: 'unknown_item',
  unknownService: 'unknown_service',
  idempotencyKeyRequired: 'idempotency_key_required',
  keyReused: 'idempotency_key_reused',
  stillRunning: 'still_running',
  queueFull: 'queue_full',
  deadlineTooShort: 'deadline_too_short',
  deadlinePassed: 'deadline_passed',
  noCapacity: 'no_capacity',
  noEndpoint: 'no_endpoint',
  storeUnavailable: 'store_unavailable',
  interrupted: 'interrupted',
  outcomeUnknown: 'outcome_unknown',
  stopping: 'stopping',
} as const;

export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** The honest end of a request that got no whole answer. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  /** `not_run`: nothing was drafted, booked or charged. `unknown`: it may have been. */
  readonly outcome: 'not_run' | 'unknown';
  /** Milliseconds until another try may succeed; undefined if it would not. */
  readonly retryAfterMs?: number;
}

/** A refusal of a request that nothing ran for. */
export const notRun = (code: RefusalCode, message: string, retryAfterMs?: number): Refusal => ({
  code,
  message,
  outcome: 'not_run',
  ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) }),
});

/** The end of a request that may have run. */
export const outcomeUnknown = (
  code: RefusalCode,
  message: string,
  retryAfterMs?: number,
): Refusal => ({ ...notRun(code, message, retryAfterMs), outcome: 'unknown' });
