import type { ByteBudget } from './byte-budget';

/** Limits for requests to one server. */
export interface HttpSettings {
  /** Timeout for opening a connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Unread bytes of a response above which reading from the server pauses. */
  readonly highWaterBytes: number;
  /** Largest response body that is read completely, in bytes. */
  readonly maxAnswerBytes: number;
  /** Budget shared by clients that may read responses at the same time. */
  readonly heldBytes?: ByteBudget;
  /**
   * Opens a connection for each request and closes it after the response, so that leftover bytes of
   * an earlier response cannot be read as the response to a later request.
   */
  readonly singleUse?: boolean;
  /**
   * Called when a connection has opened; if it returns false, the connection is closed unused. For
   * requests that must not be sent late, for example when this process was suspended while the
   * connection was being opened.
   */
  readonly mayUse?: () => boolean;
}
