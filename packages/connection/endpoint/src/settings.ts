/** Limits of the calls to endpoints. Times are in ms. */
export interface EndpointSettings {
  /** Time to open a connection. */
  readonly connectTimeoutMs: number;
  /** Longest silence of an open token stream; engines send comments while a request waits. */
  readonly progressTimeoutMs: number;
  /** Time for a call of a plain service. */
  readonly callTimeoutMs: number;
  /** Time for an order; a load answers when the item is ready. */
  readonly orderTimeoutMs: number;
  /** Time for a report, for cache events and for a cancel. */
  readonly controlTimeoutMs: number;
  /** Unread bytes of a stream above which the endpoint is held back. */
  readonly highWaterBytes: number;
  /** Largest answer of a plain service, a report or a list of cache events, in bytes. */
  readonly maxAnswerBytes: number;
}

export const defaultEndpointSettings: EndpointSettings = {
  connectTimeoutMs: 1000,
  progressTimeoutMs: 10_000,
  callTimeoutMs: 30_000,
  orderTimeoutMs: 300_000,
  controlTimeoutMs: 1000,
  highWaterBytes: 65_536,
  maxAnswerBytes: 16_000_000,
};
