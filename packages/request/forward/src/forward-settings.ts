/** Times and limits of forwarding. */
export interface ForwardSettings {
  /** Time to open a connection to an endpoint, in ms. */
  readonly connectTimeoutMs: number;
  /** Unread bytes of an answer above which the endpoint is held back. */
  readonly highWaterBytes: number;
  /** Largest whole answer that is not a stream, in bytes. */
  readonly maxAnswerBytes: number;
  /** Bytes of all answers together that are read before they are passed on. */
  readonly maxBufferedBytes: number;
  /** Largest event of a stream, in bytes. */
  readonly maxEventBytes: number;
  /** Time after which the controller is asked again for a model, in ms. */
  readonly askAgainMs: number;
  /** Part of a request's time for which it waits while there is no controller. */
  readonly uncontrolledShare: number;
  /** Shortest time left in which a request is still sent, in ms. */
  readonly minTimeLeftMs: number;
  /** Prompt tokens of this process that may be unread at one endpoint. */
  readonly maxUnreadTokens: number;
  /** Part of a route's target time for which a request is held back by that limit. */
  readonly pacingShare: number;
  /** Pause between two looks for an endpoint below that limit, in ms. */
  readonly pacingPollMs: number;
  /** Time that a client is told to wait when nothing better is known, in ms. */
  readonly defaultRetryAfterMs: number;
  /** Time after which a client may try another process when this one stops, in ms. */
  readonly closingRetryAfterMs: number;
  /** Time over which clients return after a pause of all endpoints: at least, and as a part of the pause. */
  readonly leastReturnSpreadMs: number;
  readonly returnSpreadShare: number;
  /** Sends of one request that endpoints refuse, after which it is refused. */
  readonly maxRefusals: number;
  /** Pause before a request is sent again after a refusal, in ms. */
  readonly refusalPauseMs: number;
}

export const defaultForwardSettings: ForwardSettings = {
  // A refused or lost opening packet is sent again after a second by most systems.
  connectTimeoutMs: 900,
  highWaterBytes: 65_536,
  maxAnswerBytes: 16_000_000,
  maxBufferedBytes: 64_000_000,
  maxEventBytes: 262_144,
  askAgainMs: 400,
  uncontrolledShare: 0.3,
  minTimeLeftMs: 30,
  // Engines stop their streams for about 100 ms while they read as many.
  maxUnreadTokens: 2_000,
  pacingShare: 0.4,
  pacingPollMs: 15,
  defaultRetryAfterMs: 1_000,
  closingRetryAfterMs: 50,
  leastReturnSpreadMs: 200,
  returnSpreadShare: 0.5,
  maxRefusals: 3,
  refusalPauseMs: 20,
};
