import type { Head, Headers } from '@currantdrift/http';

/** What the headers of a client's request say. */
export interface RequestFields {
  /** Differs for each try of a client. */
  readonly id: string;
  /** Time that the client will wait, in ms; undefined if it does not say. */
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Tokens of the prompt, and the most that may be generated; 0 if unknown. */
  readonly promptTokens: number;
  readonly maxNewTokens: number;
  /** Identifiers of the prompt's parts in order; requests share the first ones. */
  readonly promptParts: readonly string[];
}

/** What this system adds to a request that it sends to an endpoint. */
export interface ForwardingFields {
  /** Only this endpoint may run the request. */
  readonly endpoint: string;
  /** Time that is left for the answer, in ms. */
  readonly deadlineMs: number;
  /** 0 is served first. */
  readonly urgency: number | undefined;
  /** Identifier of the last event of a stream that the client has. */
  readonly resumeAfter: string | undefined;
}

/** Load that an endpoint states with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** The vocabulary of clients and endpoints: names of headers and their formats. */
export interface EndpointProtocol {
  /** Undefined if the request has no usable identifier. */
  requestFields(headers: Headers): RequestFields | undefined;
  /** Headers of the request to an endpoint: those of the client that concern the endpoint. */
  requestHeaders(headers: Headers, envelope: ForwardingFields): Record<string, string>;
  /** Headers of the answer to the client: those of the endpoint that concern the client. */
  responseHeaders(headers: Headers): Record<string, string | string[]>;
  /** True if the endpoint states that it did not and will not run the request. */
  isNotRun(head: Head): boolean;
  /** True if it did not run the request because it lacks the model, or is another endpoint. */
  isMisdirected(head: Head): boolean;
  /** Identifier of the request that the answer belongs to; undefined if it has none. */
  responseRequestId(head: Head): string | undefined;
  /** Whether the endpoint vouches for the answer. */
  isSealed(head: Head): boolean;
  reportedLoad(head: Head): ReportedLoad | undefined;
  /** Endpoint that answers; undefined if the answer does not say. */
  respondingEndpoint(head: Head): string | undefined;
  /** Whether the endpoint says that it leaves. */
  isLeaving(head: Head): boolean;
  /** Time for which the endpoint wants nothing from this process, in ms; undefined if it asks for none. */
  pauseMs(head: Head): number | undefined;
}
