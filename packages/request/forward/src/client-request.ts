import { digest, type ExpectedWork } from '@currantdrift/core';
import type { Headers } from '@currantdrift/http';
import type { Route } from '@currantdrift/routes';
import type { Authorized } from './authorizer';
import type { RequestFields } from './endpoint-protocol';
import type { RequestTimes } from './request-times';

/** A client's request with its route and its complete body. */
export interface ClientRequest {
  readonly fields: RequestFields;
  readonly method: string;
  /** Path and query as the client sent them. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer;
  /** Identifies what the client asks for; a repeat under another id has the same digest. */
  readonly digest: string;
  readonly route: Route;
  readonly service: string;
  /** The customer and the key by which the request was authorized. */
  readonly authorized: Authorized;
  /** The customer's priority or the route's; 0 is the most urgent. */
  readonly priority: number;
  /** Arrival, and deadline of the complete answer, in ms of the steady clock. */
  readonly arrivedAt: number;
  readonly deadline: number;
  /** Deadline of the first byte: clients abandon a stream that stays silent for too long. */
  readonly firstByteDeadline: number;
  /** Where its time goes, for its log line. */
  readonly times: RequestTimes;
}

/** Deadline of the complete answer: the client's deadline or the route's timeout, whichever is first. */
export const deadlineOf = (route: Route, fields: RequestFields, arrivedAt: number): number =>
  arrivedAt + Math.min(route.timeoutMs, fields.deadlineMs ?? route.timeoutMs);

/** What decides how long the request may take. */
export const expectedWork = ({
  fields,
  service,
  deadline,
}: Pick<ClientRequest, 'fields' | 'service' | 'deadline'>): ExpectedWork => ({
  service,
  tokens: fields.maxNewTokens,
  deadline,
});

/** Digest of a request's method, path, caller and body. Other headers may differ between repeats. */
export const digestOf = (
  { method, path, headers, body }: Pick<ClientRequest, 'method' | 'path' | 'headers' | 'body'>,
  { caller = '' }: RequestFields,
): string => digest(method, String(headers.host ?? ''), path, caller, body);
