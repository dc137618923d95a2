import type { ByteBudget } from './byte-budget';

/** Limits of the requests to one server. */
export interface HttpSettings {
  /** Time to open a connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Unread bytes of an answer above which the server is held back. */
  readonly highWaterBytes: number;
  /** Largest whole answer, in bytes. */
  readonly maxAnswerBytes: number;
  /** Shared by clients whose answers may be held at the same time. */
  readonly heldBytes?: ByteBudget;
  /**
   * Opens a connection for each request and closes it after the answer, so that bytes which belong
   * to an earlier request cannot be taken for an answer.
   */
  readonly singleUse?: boolean;
  /**
   * Asked when a connection has opened; it is closed unused if the answer is false. For requests that
   * must not leave late, as after a suspension of this process while the connection was being opened.
   */
  readonly mayUse?: () => boolean;
}
