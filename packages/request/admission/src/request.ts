/** What a request states when it asks to be admitted. */
export interface AdmissionRequest {
  readonly caller: string;
  /** Share of capacity relative to other callers; above 0. */
  readonly weight: number;
  /** 0 (lowest) to 9; a higher priority is always served first. */
  readonly priority: number;
  /** Time by which the answer must be complete, in ms since the epoch. */
  readonly deadline: number;
  /** Work of the request relative to others of the queue; default 1. */
  readonly cost?: number;
  /**
   * The request has been granted before and is tried again. It goes before all others, because
   * the work done for it is lost unless it is served; the retry budget bounds such requests.
   */
  readonly isRetry?: boolean;
  /** Expected time from grant to answer, in ms; default: the observed mean. */
  readonly serviceMs?: number;
}

/** Why an entry was not granted. */
export interface AdmissionRefusal {
  readonly kind:
    | 'invalid'
    /** The estimated wait does not fit into the time left. */
    | 'too_late'
    /** The queue is full. */
    | 'queue_full'
    /** The caller has as many entries waiting as one caller may have. */
    | 'caller_full'
    /** The owner cancelled the entry. */
    | 'cancelled'
    /** The queue is closed because the process stops. */
    | 'closed';
  readonly message: string;
  /** Milliseconds until the backlog that caused the refusal is expected to be gone. */
  readonly retryAfterMs: number;
}
