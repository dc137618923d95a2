import {
  type DomainView,
  type Failure,
  FailureKind,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type ServiceCall,
  type Span,
} from '@currantdrift/core';
import { callService, type Outcome, type Reason, type Target } from '@currantdrift/attempt';
import { type BookingResult, type ClaimLedger, runBooking } from '@currantdrift/booking';
import { err, ok, type Result } from 'neverthrow';
import { type ChatContext, refusalOf } from './chat-run';
import { notRun, outcomeUnknown, type Refusal, RefusalCode } from './refusal';
import { awaitTarget, guardTarget } from './replica-chooser';
import type { ServiceAnswer, ServiceRequest } from './request';
import { callDigest } from './request-digest';
import { RequestGuard } from './request-guard';

export interface ServiceContext extends ChatContext {
  readonly ledger: ClaimLedger;
}

const toServiceCallRequest = (
  request: ServiceRequest,
  traceparent: string,
): ServiceCallRequest => ({
  requestId: request.requestId,
  service: request.service,
  call: request.call,
  method: request.method,
  query: request.query,
  contentType: request.contentType,
  body: request.body,
  traceparent,
  ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
});

/** Whether this domain has an endpoint in a pool of plain services. */
export const hasPool = (view: DomainView, pool: string): boolean => view.pool(pool).length > 0;

const guardOf = (
  { clock, crashes, view }: ServiceContext,
  request: ServiceRequest,
  pool: string,
): RequestGuard =>
  RequestGuard.create({
    clock,
    crashes,
    view,
    pool,
    promptParts: [],
    digest: callDigest(request),
  });

/** Waits for an endpoint of the pool, unless the call is held back. */
const chooseTarget = async (
  context: ServiceContext,
  { caller, priority, deadline }: ServiceRequest,
  pool: string,
  guard: RequestGuard,
  tried: readonly string[],
  stop: AbortSignal,
): Promise<Result<Target, Reason>> => {
  const { clock } = context;
  const heldBack = guard.check(clock.now());
  if (heldBack !== undefined) return err(heldBack);
  const target = await awaitTarget(
    context,
    `pool:${pool}`,
    {
      caller: caller.name,
      weight: caller.weight,
      priority,
      deadline,
      tried,
      prefixes: [],
      isRetry: tried.length > 0,
    },
    stop,
  );
  return target.andThen((granted) => guardTarget(granted, guard, clock.now()));
};

/** Calls an endpoint of this domain. `context.attempts` bounds how often the call is sent. */
const callInDomain = async (
  context: ServiceContext,
  request: ServiceRequest,
  pool: string,
  repeatable: boolean,
  span: Span,
  signal: AbortSignal,
): Promise<Outcome<ServiceCallResponse>> => {
  const { deadline } = request;
  const hop = context.telemetry.span('endpoint', span.traceparent, { pool });
  const guard = guardOf(context, request, pool);
  const outcome = await callService(
    { call: toServiceCallRequest(request, hop.traceparent), repeatable, deadline },
    {
      choose: (tried, stop) => chooseTarget(context, request, pool, guard, tried, stop),
      clock: context.clock,
      budget: context.budget,
      settings: context.attempts,
      signal,
    },
  );
  hop.end(outcome.kind);
  return outcome;
};

const failureOf = (refusal: Refusal): Failure => ({
  kind: refusal.outcome === 'not_run' ? FailureKind.refused : FailureKind.unknown,
  step: refusal.code,
  peer: 'service',
  message: refusal.message,
  ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
});

const replay = (
  outcome: Extract<BookingResult, { state: 'done' }>['outcome'],
): Result<ServiceAnswer, Refusal> => {
  const { status, contentType, body, bodyBytes } = outcome;
  if (body === undefined && bodyBytes > 0) {
    const message = `the call was answered with status ${status}; its body of ${bodyBytes} bytes was not kept`;
    return err(outcomeUnknown(RefusalCode.outcomeUnknown, message));
  }
  const answer = { status, contentType, body: Buffer.from(body ?? '', 'base64'), replayed: true };
  return ok(body === undefined ? { ...answer, endsWithConnection: true } : answer);
};

/** Converts the result of a booking to the caller's answer or refusal. */
const toServiceAnswer = (ended: BookingResult): Result<ServiceAnswer, Refusal> => {
  switch (ended.kind) {
    case 'answered':
      return ok({ ...ended.answer, replayed: false });
    case 'not_run':
      return err(notRun(RefusalCode.noEndpoint, ended.message, ended.retryAfterMs));
    case 'refused':
      return err(notRun(RefusalCode.storeUnavailable, ended.message, ended.retryAfterMs));
    case 'unknown':
      return err(outcomeUnknown(RefusalCode.outcomeUnknown, ended.failure.message));
    case 'conflict':
      return ended.reason === 'running'
        ? err(
            outcomeUnknown(
              RefusalCode.stillRunning,
              'a call with this Idempotency-Key is running',
              ended.retryAfterMs,
            ),
          )
        : err(
            notRun(
              RefusalCode.keyReused,
              'this Idempotency-Key was used for another call; use a new key',
            ),
          );
    default:
      return ended.state === 'unknown'
        ? err(
            outcomeUnknown(
              RefusalCode.outcomeUnknown,
              'a call with this Idempotency-Key may have run; ask the service for its result',
            ),
          )
        : replay(ended.outcome);
  }
};

/** Runs a call that must run at most once; its idempotency key is claimed before it is sent. */
const runOnce = async (
  context: ServiceContext,
  request: ServiceRequest,
  key: string,
  pool: string,
  span: Span,
): Promise<Result<ServiceAnswer, Refusal>> => {
  // The call continues if the caller disconnects, so that its outcome is recorded for a retry with
  // the same key.
  const { signal } = new AbortController();
  const ended = await runBooking(
    context.ledger,
    context.clock,
    { caller: request.caller.name, key, call: request, deadline: request.deadline },
    async () => {
      const outcome = await callInDomain(context, request, pool, false, span, signal);
      if (outcome.kind === 'answered') return ok(outcome.answer);
      return err(failureOf(refusalOf(outcome) as Refusal));
    },
  );
  return toServiceAnswer(ended);
};

/**
 * Looks up the outcome of an earlier call with the same idempotency key, for a call that no
 * endpoint accepts. Returns undefined if there was no earlier call or the call has no key.
 */
export const findEarlierOutcome = async (
  { ledger, clock }: ServiceContext,
  request: ServiceRequest,
): Promise<Result<ServiceAnswer, Refusal> | undefined> => {
  const { caller, idempotencyKey: key, deadline } = request;
  if (key === undefined) return undefined;
  const claim = { caller: caller.name, key, call: request, deadline };
  const earlier = await ledger.find(claim, clock.now());
  return earlier && toServiceAnswer(earlier);
};

/** Runs a call of a plain service in this domain. */
export const runService = async (
  context: ServiceContext,
  request: ServiceRequest,
  pool: string,
  call: ServiceCall,
  span: Span,
  signal: AbortSignal,
): Promise<Result<ServiceAnswer, Refusal>> => {
  if (!call.repeatable) {
    // `CallerEntry.call` has checked that a key is given.
    return runOnce(context, request, request.idempotencyKey as string, pool, span);
  }
  const outcome = await callInDomain(context, request, pool, true, span, signal);
  return outcome.kind === 'answered'
    ? ok({ ...outcome.answer, replayed: false })
    : err(refusalOf(outcome) as Refusal);
};
