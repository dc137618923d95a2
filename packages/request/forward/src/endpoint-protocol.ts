import type { StatedLimit } from '@currantdrift/core';
import type { Head, Headers } from '@currantdrift/http';
import type { ReportedLoad } from '@currantdrift/routing';
import type { Result } from 'neverthrow';

/** Fields that are parsed from the headers of a client's request. */
export interface RequestFields {
  /** Request id; differs for each retry by the client. */
  readonly id: string;
  /** Time that the client waits for the answer, in ms; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  /** Credentials of the client; undefined if it states none. */
  readonly caller: string | undefined;
  /** API key that the client presents; undefined if it presents none or its header is malformed. */
  readonly apiKey: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Tokens of the prompt, and the maximum number to generate, whole and finite; 0 if unknown. */
  readonly promptTokens: number;
  readonly maxNewTokens: number;
  /** Id of the last event of a broken stream that the client has; undefined for a new stream. */
  readonly resumesAfter: string | undefined;
  /** Id of the earlier attempt that brought the first event of that stream; undefined if not stated. */
  readonly resumes: string | undefined;
  /** Identifiers of the prompt's parts in order; prompts with a common prefix share the first ones. */
  readonly promptParts: readonly string[];
}

/** A field of a request that is missing, or not of the type and range that it must have. */
export interface InvalidField {
  readonly field: string;
  /** What it must be, as a noun phrase. */
  readonly expected: string;
}

/** Identity of a request's sender, as the endpoint sees it. */
export interface ForwardedIdentity {
  /** Name of the customer; undefined on public routes. */
  readonly customer: string | undefined;
}

/** Values that are added to the headers of a request sent to an endpoint. */
export interface ForwardingFields {
  /** Id of the only endpoint that may run the request. */
  readonly endpoint: string;
  /** Time left for the answer, in ms. */
  readonly deadlineMs: number;
  /** Requests with lower values are served first; 0 is the most urgent. */
  readonly urgency: number | undefined;
  /** Replaces the client's credentials; undefined if these are forwarded. */
  readonly identity: ForwardedIdentity | undefined;
  /** Id of the last stream event that the client has received. */
  readonly resumeAfter: string | undefined;
}

/** Maps between header names and formats of a platform and the fields used for forwarding. */
export interface EndpointProtocol {
  /** Fails with the first field that is missing or outside its range. */
  requestFields(headers: Headers): Result<RequestFields, InvalidField>;
  /** Headers of the request to an endpoint: the end-to-end headers of the client and `fields`. */
  requestHeaders(headers: Headers, envelope: ForwardingFields): Record<string, string>;
  /** Headers of the answer to the client: the end-to-end headers of the endpoint. */
  responseHeaders(headers: Headers): Record<string, string | string[]>;
  /** Whether the endpoint states that it did not and will not run the request. */
  isNotRun(head: Head): boolean;
  /**
   * Whether the request did not run because the endpoint does not hold the model, or is not the one
   * that the request names.
   */
  isMisdirected(head: Head): boolean;
  /** Id of the request that the answer belongs to; undefined if the answer has none. */
  responseRequestId(head: Head): string | undefined;
  /** Whether the answer carries the seal with which an endpoint marks its own answers. */
  isSealed(head: Head): boolean;
  /** Load that the endpoint reports in the headers of an answer. */
  reportedLoad(head: Head): ReportedLoad | undefined;
  /** Id of the endpoint that answered; undefined if the answer does not state it. */
  respondingEndpoint(head: Head): string | undefined;
  /** Whether the endpoint announces that it is shutting down. */
  isLeaving(head: Head): boolean;
  /** Time for which the endpoint asks this process to send nothing, in ms; undefined if it does not. */
  pauseMs(head: Head): number | undefined;
  /** The request limit that the endpoint states. */
  statedLimit(head: Head): StatedLimit;
}
