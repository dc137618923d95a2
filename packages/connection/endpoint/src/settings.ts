/** Limits for calls to endpoints. Times are in ms. */
export interface EndpointSettings {
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs: number;
  /**
   * Longest time without data on an open token stream. Engines send comments while a request waits
   * for a slot, so waiting does not trigger it.
   */
  readonly progressTimeoutMs: number;
  /** Timeout of a call to a plain service. */
  readonly callTimeoutMs: number;
  /** Timeout of an order. The response to a load order comes only when the item is ready. */
  readonly orderTimeoutMs: number;
  /** Timeout of a report, of cache events and of a cancel. */
  readonly controlTimeoutMs: number;
  /** Unread bytes of a stream above which reading from the endpoint pauses. */
  readonly highWaterBytes: number;
  /** Largest response of a plain service, report or list of cache events, in bytes. */
  readonly maxAnswerBytes: number;
  /** Total size of the responses of all endpoints that are being read, in bytes. */
  readonly maxHeldBytes: number;
}

export const defaultEndpointSettings: EndpointSettings = {
  connectTimeoutMs: 1000,
  progressTimeoutMs: 10_000,
  callTimeoutMs: 30_000,
  orderTimeoutMs: 300_000,
  controlTimeoutMs: 1000,
  highWaterBytes: 65_536,
  maxAnswerBytes: 16_000_000,
  maxHeldBytes: 64_000_000,
};
