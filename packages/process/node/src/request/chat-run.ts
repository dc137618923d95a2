import type { Span } from '@currantdrift/core';
import {
  type AttemptSettings,
  type GeneratedAnswer,
  generate,
  type Outcome,
  type Reason,
  type RetryBudget,
} from '@currantdrift/attempt';
import type { CrashWatch } from '@currantdrift/quarantine';
import type { PrefixIndex } from '@currantdrift/routing';
import { err, ok } from 'neverthrow';
import { promptParts } from './prompt-parts';
import { promptPrefixes } from './prompt-prefixes';
import { notRun, outcomeUnknown, type Refusal, RefusalCode } from './refusal';
import { chatDigest } from './request-digest';
import { RequestGuard } from './request-guard';
import { type RoutingContext, ReplicaChooser } from './replica-chooser';
import type { ChatRequest, ChatStream } from './request';

/** Components of the daemon that a chat request uses. */
export interface ChatContext extends RoutingContext {
  readonly budget: RetryBudget;
  readonly prefixes: PrefixIndex;
  /** Finds and holds back requests that crash endpoints. */
  readonly crashes: CrashWatch;
  readonly attempts: Partial<AttemptSettings>;
}

const refusalCodes = new Set<string>(Object.values(RefusalCode));

const isRefusalCode = (step: string): step is RefusalCode => refusalCodes.has(step);

const refusalCodeOf = (reason: Reason, outcome: 'notRun' | 'unknown'): RefusalCode => {
  if (isRefusalCode(reason.step)) return reason.step;
  if (reason.peer === 'self') return RefusalCode.deadlinePassed;
  return outcome === 'notRun' ? RefusalCode.noEndpoint : RefusalCode.interrupted;
};

/** Converts an outcome to a refusal; undefined if the request was answered. */
export const refusalOf = (outcome: Outcome<unknown>): Refusal | undefined => {
  if (outcome.kind === 'answered') return undefined;
  const { reason } = outcome;
  const build = outcome.kind === 'notRun' ? notRun : outcomeUnknown;
  return build(refusalCodeOf(reason, outcome.kind), reason.message, reason.retryAfterMs);
};

/** Whether a request came from a caller or was forwarded by a daemon of another domain. */
export interface ChatOrigin {
  readonly forwarded: boolean;
  /** Tokens that the caller has already received. */
  readonly resume: readonly string[];
  /** Software version of the engine that wrote them; undefined if it is not known. */
  readonly softwareVersion?: string;
}

/** The model or adapter of a request. */
export interface ChatItem {
  /** Key with the version in force. */
  readonly key: string;
  /** Pool of the engines that may load it. */
  readonly pool: string;
}

/** Runs a chat request and yields its answer. */
export const runChat = async function* runChat(
  context: ChatContext,
  request: ChatRequest,
  { key: itemKey, pool }: ChatItem,
  origin: ChatOrigin,
  span: Span,
  signal: AbortSignal,
): ChatStream {
  const { clock, telemetry } = context;
  const start = clock.now();
  const prefixes = promptPrefixes(request.messages);
  const guard = RequestGuard.create({
    clock,
    crashes: context.crashes,
    view: context.view,
    pool,
    promptParts: promptParts(request.messages),
    digest: chatDigest(request),
  });
  const chooser = ReplicaChooser.create(
    context,
    request,
    itemKey,
    prefixes,
    guard,
    span,
    !origin.forwarded,
  );
  context.waker.touch(itemKey, start);
  const spans = new Map<number, Span>();
  const run = generate(
    {
      requestId: request.requestId,
      item: itemKey,
      messages: request.messages,
      maxTokens: request.maxTokens,
      priority: request.priority,
      deadline: request.deadline,
      resume: origin.resume,
      softwareVersion: origin.softwareVersion,
      traceparent: span.traceparent,
      ...(request.temperature === undefined ? {} : { temperature: request.temperature }),
      ...(request.seed === undefined ? {} : { seed: request.seed }),
    },
    {
      choose: (tried, stop, choice) => chooser.choose(tried, stop, choice),
      clock,
      budget: context.budget,
      settings: context.attempts,
      signal,
      observer: ({ kind, attempt, endpoint, cause, result, message }) => {
        if (kind === 'started') {
          const hop = endpoint.startsWith('domain:') ? 'peer' : 'endpoint';
          spans.set(attempt, telemetry.span(hop, span.traceparent, { endpoint, cause }));
          context.prefixes.recordPrompt(endpoint, itemKey, prefixes);
          return;
        }
        spans.get(attempt)?.end(result);
        telemetry.count('currantdrift_attempts_total', { outcome: result ?? 'cancelled' });
        if (result !== 'complete' && result !== 'cancelled') {
          const { requestId } = request;
          telemetry.log('attempt failed', { requestId, attempt, peer: endpoint, result, message });
        }
      },
    },
  );
  let delivered = origin.resume.length;
  let first = true;
  for await (const tokens of run.deltas) {
    if (first) {
      first = false;
      const labels = { start: chooser.neededColdStart ? 'cold' : 'warm' };
      const seconds = (clock.now() - start) / 1000;
      telemetry.observe('currantdrift_time_to_first_token_seconds', seconds, labels);
    }
    delivered += tokens.length;
    telemetry.count('currantdrift_tokens_total', undefined, tokens.length);
    const softwareVersion = run.softwareVersion();
    yield ok({ kind: 'tokens', tokens, ...(softwareVersion !== undefined && { softwareVersion }) });
  }
  const outcome: Outcome<GeneratedAnswer> = await run.outcome;
  const refusal = refusalOf(outcome);
  if (refusal !== undefined) yield err(refusal);
  if (outcome.kind === 'answered') {
    yield ok({ kind: 'end', finishReason: outcome.answer.finishReason, total: delivered });
  }
};
