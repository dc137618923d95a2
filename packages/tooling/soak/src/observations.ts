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
  /** Id of the attempt with which its stream began; its own id unless it takes a stream up. */
  readonly stream: string;
  /** Last event that its client had before; 0 unless it takes a stream up. */
  readonly resumedAfter: number;
  /** Software versions of the engines that wrote its events. */
  readonly softwareVersions: readonly string[];
  /** Whether two engines of the stream's software version served when it was sent. */
  readonly canGoOn: boolean;
  /** Parts of its prompt; empty without one. */
  readonly promptParts: readonly string[];
  /** API key that it carries, and the customer that holds it. */
  readonly apiKey: string;
  readonly customer: string;
  /** What of it crashes engines; undefined for a sound request. */
  readonly crashCause: string | undefined;
}

/** What crashes the engines that begin to run it. */
export const CauseKind = {
  /** A part of prompts, in requests that differ otherwise. */
  part: 'part',
  /** One request that comes again under other ids. */
  request: 'request',
} as const;
export type CauseKind = (typeof CauseKind)[keyof typeof CauseKind];

/** The crash of an engine by a request. */
export interface EngineCrash {
  readonly endpoint: string;
  readonly kind: CauseKind;
  /** Names the prompt part or the request. */
  readonly cause: string;
  readonly at: number;
}

/** A request that an endpoint began to work on. */
export interface Run {
  readonly id: string;
  readonly endpoint: string;
  readonly at: number;
  /** Customer that the request named to the endpoint, and whether it carried an API key. */
  readonly customer: string | undefined;
  readonly showsKey: boolean;
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

/** A call of any kind that an endpoint received. */
export interface ReceivedCall {
  readonly endpoint: string;
  readonly at: number;
  /** Id of the request, or name of the holder that sent an order; neither for other calls. */
  readonly request: string | undefined;
  readonly holder: string | undefined;
  /** Start of the process that sent an order; undefined for other calls. */
  readonly start: number | undefined;
  /** Whether the answer stated a limit. */
  readonly saysLimit: boolean;
}

/** A call with the process that sent it. */
export interface Arrival extends ReceivedCall {
  /** Undefined if the call does not tell who sent it. */
  readonly process: string | undefined;
  /** Time at which the answer was passed on; undefined if there was none. */
  readonly answeredAt: number | undefined;
}

/** A limit on its requests that an endpoint stated for a time. */
export interface Limit {
  readonly endpoint: string;
  /** Requests a second, from all processes together. */
  readonly ratePerS: number;
  /** Time from which the endpoint has stated limits without a break. */
  readonly firstAt: number;
  readonly from: number;
  readonly to: number;
}
