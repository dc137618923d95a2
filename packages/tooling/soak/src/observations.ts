/** What may be repeated of a request. */
export const Kind = {
  safe: 'safe',
  unsafe: 'unsafe',
  stream: 'stream',
  /** A stream that may go on at another endpoint. */
  resumable: 'resumable',
} as const;
export type Kind = (typeof Kind)[keyof typeof Kind];

/** One request as its caller saw it. Times are in ms since the start of the run. */
export interface Attempt {
  readonly id: string;
  readonly kind: Kind;
  /** Process that the request was sent to, and which start of it. */
  readonly process: string;
  readonly start: number;
  /** Configuration version that added the route; undefined for routes of the first one. */
  readonly addedIn: number | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined if the connection ended before a status came. */
  readonly status: number | undefined;
  /** Whether the answer said that its endpoint leaves, and which endpoint it names. */
  readonly saysLeaving: boolean;
  readonly endpoint: string | undefined;
  /** Whether the answer names an endpoint, and whether its body is of this request. */
  readonly sealed: boolean;
  readonly ownBody: boolean;
  /** Whether the answer came to its end as HTTP says. */
  readonly complete: boolean;
  /** Ids of the stream's events in the order of arrival, and how many the whole stream has. */
  readonly events: readonly number[];
  readonly expectedEvents: number;
}

/** A request that an endpoint began to work on. */
export interface Run {
  readonly id: string;
  readonly endpoint: string;
  readonly at: number;
  /** Time at which the endpoint made its leaving known; undefined if it did not. */
  readonly leavingSince: number | undefined;
}

/** A request that an endpoint refused, asking for a pause. */
export interface Refusal {
  readonly id: string;
  readonly endpoint: string;
  readonly at: number;
  readonly pauseMs: number;
}

/** An order that an engine received. */
export interface Order {
  readonly endpoint: string;
  readonly holder: string;
  readonly fence: number;
  readonly at: number;
}
