import type { RetrySpreadSettings } from './retry-spread';

/** Timeouts and limits of forwarding. */
export interface ForwardSettings extends RetrySpreadSettings {
  /** Timeout for opening a connection to an endpoint, in ms. */
  readonly connectTimeoutMs: number;
  /** Unread bytes of an answer above which backpressure applies to the endpoint. */
  readonly highWaterBytes: number;
  /** Maximum size of an answer that is not a stream, in bytes. */
  readonly maxAnswerBytes: number;
  /** Maximum size of one event of a stream, in bytes. */
  readonly maxEventBytes: number;
  /** Time after which the controller is asked again to load a model, in ms. */
  readonly loadRequestIntervalMs: number;
  /** Share of a request's time for which it waits while there is no controller. */
  readonly noControllerWaitShare: number;
  /** Minimum time left for a request to be sent, in ms. */
  readonly minTimeLeftMs: number;
  /** Prompt tokens of this process that may wait for prefill at one endpoint. */
  readonly maxPrefillTokens: number;
  /** Share of a route's first-byte target for which a request may be delayed by that limit. */
  readonly prefillHoldShare: number;
  /** Interval between searches for an endpoint below that limit, in ms. */
  readonly prefillPollMs: number;
  /** Interval between checks whether streams may begin at a new software version, in ms. */
  readonly settlingPollMs: number;
  /** Retry time given to a client when no better estimate is known, in ms. */
  readonly defaultRetryAfterMs: number;
  /** Retry time given to a client when this process shuts down; it may try another one, in ms. */
  readonly shutdownRetryAfterMs: number;
  /** Number of refusals by endpoints after which a request is refused. */
  readonly maxRefusals: number;
  /** Delay before a request is sent again after a refusal, in ms. */
  readonly refusalRetryDelayMs: number;
}

export const defaultForwardSettings: ForwardSettings = {
  // Below the second after which most systems retransmit a lost or refused SYN packet.
  connectTimeoutMs: 900,
  highWaterBytes: 65_536,
  maxAnswerBytes: 16_000_000,
  maxEventBytes: 262_144,
  loadRequestIntervalMs: 400,
  noControllerWaitShare: 0.3,
  minTimeLeftMs: 30,
  // Engines pause their streams for about 100 ms while they prefill this many tokens.
  maxPrefillTokens: 2_000,
  prefillHoldShare: 0.4,
  prefillPollMs: 15,
  settlingPollMs: 100,
  defaultRetryAfterMs: 1_000,
  shutdownRetryAfterMs: 50,
  minRetrySpreadMs: 200,
  retrySpreadShare: 0.5,
  maxRefusals: 3,
  refusalRetryDelayMs: 20,
};
