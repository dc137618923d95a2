/** A request for admission. */
export interface AdmissionRequest {
  readonly caller: string;
  /** Share of capacity relative to other callers; above 0. */
  readonly weight: number;
  /** 0 (lowest) to 9; a higher priority is always served first. */
  readonly priority: number;
  /** Time by which the answer must be complete, in ms since the epoch. */
  readonly deadline: number;
  /**
   * Time up to which a grant still meets the time to the first byte that is aimed at, in ms since the
   * epoch. Entries past it are served after those of the same caller and priority that can meet
   * theirs. Default: none.
   */
  readonly target?: number;
  /** Work of the request relative to others in the queue; default 1. */
  readonly cost?: number;
  /**
   * The request was granted before and is retried. It is served before all others, because the
   * work already done for it is otherwise lost. The retry budget limits how many there are.
   */
  readonly isRetry?: boolean;
  /** Expected time from grant to answer, in ms; default: the observed mean. */
  readonly serviceMs?: number;
}

/** Why an entry was not granted. */
export interface AdmissionRefusal {
  readonly kind:
    | 'invalid'
    /** The estimated wait exceeds the time left. */
    | 'too_late'
    /** The queue is full. */
    | 'queue_full'
    /** The caller has reached its limit of waiting entries. */
    | 'caller_full'
    /** The owner cancelled the entry. */
    | 'cancelled'
    /** The queue is closed because the process is stopping. */
    | 'closed';
  readonly message: string;
  /** Milliseconds until the backlog that caused the refusal is expected to be gone. */
  readonly retryAfterMs: number;
}
