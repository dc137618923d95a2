/** Error codes sent to callers; docs/callers.md explains each. */
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
  memoryExhausted: 'memory_exhausted',
  promptHeldBack: 'prompt_held_back',
  requestHeldBack: 'request_held_back',
} as const;

export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** Result of a request that did not get a complete answer, with whether it may have run. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  /**
   * `not_run`: the request had no effect, such as a booking or a charge. `unknown`: it may have
   * had.
   */
  readonly outcome: 'not_run' | 'unknown';
  /** Time after which a retry may succeed, in ms; undefined if a retry would not help. */
  readonly retryAfterMs?: number;
}

/** Time after which a caller that a stopping daemon refuses may try again, at another one, in ms. */
export const stoppingRetryMs = 1_000;

/** Creates a refusal of a request that did not run. */
export const notRun = (code: RefusalCode, message: string, retryAfterMs?: number): Refusal => ({
  code,
  message,
  outcome: 'not_run',
  ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) }),
});

/** Creates a refusal of a request that may have run. */
export const outcomeUnknown = (
  code: RefusalCode,
  message: string,
  retryAfterMs?: number,
): Refusal => ({ ...notRun(code, message, retryAfterMs), outcome: 'unknown' });
