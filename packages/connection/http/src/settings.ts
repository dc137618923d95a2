/** Limits of the requests to one server. */
export interface HttpSettings {
  /** Time to open a connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Unread bytes of an answer above which the server is held back. */
  readonly highWaterBytes: number;
  /** Largest whole answer, in bytes. */
  readonly maxAnswerBytes: number;
}
