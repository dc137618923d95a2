import { createHash } from 'node:crypto';
import type { BundleHolder, PreparedBundle } from '@currantdrift/bundle';
import type {
  AnswerTimes,
  Caller,
  ExpectedWork,
  Message,
  PlannedStop,
  Service,
  ServiceCall,
  Span,
} from '@currantdrift/core';
import { FailureKind, modelOf } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type ChatItem, type ChatOrigin, runChat } from './chat-run';
import {
  EntryMessage,
  type ForwardedAnswer,
  type ForwardedCall,
  forwardedCallSchema,
  forwardedChatSchema,
  type ForwardedPart,
} from './messages';
import { notRun, outcomeUnknown, type Refusal, RefusalCode, stoppingRetryMs } from './refusal';
import type {
  ChatRequest,
  ChatStream,
  RequestEntry,
  ServiceAnswer,
  ServiceRequest,
} from './request';
import { findEarlierOutcome, hasPool, runService, type ServiceContext } from './service-run';

export interface CallerEntryOptions {
  readonly holder: BundleHolder;
  readonly context: ServiceContext;
  /** Decides which requests may begin while the daemon stops. */
  readonly plannedStop: PlannedStop;
  /** How long answers take, by service and by pool of engines. */
  readonly answerTimes: AnswerTimes;
}

/** Retry delay for callers while the daemon has no bundle, in ms. */
const noBundleRetryMs = 2_000;

/** Retry delay for callers if no domain has an endpoint, in ms. */
const noEndpointRetryMs = 5_000;

const noBundle = (): Refusal =>
  notRun(RefusalCode.noBundle, 'this daemon has no bundle yet', noBundleRetryMs);

/** Used both for items that do not exist and for items that the caller may not access. */
const unknownItem = (item: string): Refusal =>
  notRun(RefusalCode.unknownItem, `the model ${JSON.stringify(item)} does not exist`);

/**
 * A peer, possibly of another version, sent a request that does not match the schema; nothing ran.
 */
const malformed = (error: z.ZodError): Refusal =>
  notRun(RefusalCode.noEndpoint, `the forwarded request is malformed: ${z.prettifyError(error)}`);

const stopsTooSoon = (): Refusal =>
  notRun(RefusalCode.stopping, 'this daemon stops before the answer would end', stoppingRetryMs);

/** Refusals after which the next daemon of another domain may be asked: nothing ran. */
const isTriedElsewhere = ({ code, outcome }: Refusal): boolean =>
  outcome === 'not_run' && (code === RefusalCode.noEndpoint || code === RefusalCode.stopping);

interface FoundCall {
  readonly service: Service;
  readonly call: ServiceCall;
}

/** Handles callers' requests: checks them against the bundle, then runs or forwards them. */
export class CallerEntry implements RequestEntry {
  private openCount = 0;

  private constructor(private readonly options: CallerEntryOptions) {}

  /** Also registers handlers for requests forwarded by daemons of other domains. */
  static create(options: CallerEntryOptions): CallerEntry {
    const entry = new CallerEntry(options);
    const { peers } = options.context;
    peers.onStream(EntryMessage.chat, (message, _from, signal) =>
      entry.handleForwardedChat(message, signal),
    );
    peers.onRequest(EntryMessage.call, (message) => entry.handleForwardedCall(message));
    return entry;
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.openCount;
  }

  authenticate(apiKey: string): Caller | undefined {
    const hash = createHash('sha256').update(apiKey).digest('hex');
    return this.options.holder.current?.callerByKeyHash(hash);
  }

  items(caller: Caller): readonly string[] {
    return this.options.holder.current?.accessibleItems(caller) ?? [];
  }

  chat(request: ChatRequest, signal: AbortSignal): ChatStream {
    return this.runChat(request, { forwarded: false, resume: [] }, signal);
  }

  async call(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const found = this.findCall(request);
    if (found.isErr()) return err(found.error);
    const { service, call } = found.value;
    if (!call.repeatable && request.idempotencyKey === undefined) {
      const message = `${service.name}/${call.name} may run only once; send an Idempotency-Key`;
      return err(notRun(RefusalCode.idempotencyKeyRequired, message));
    }
    return this.serve('service', request, async (span) =>
      hasPool(this.options.context.view, service.pool)
        ? runService(this.options.context, request, service.pool, call, span, signal)
        : this.forwardOrFindEarlier(request, call, span),
    );
  }

  private async *runChat(
    request: ChatRequest,
    origin: ChatOrigin,
    signal: AbortSignal,
  ): ChatStream {
    const { holder, context } = this.options;
    const bundle = holder.current;
    const found = this.findItem(bundle, request);
    if (found.isErr()) {
      yield err(found.error);
      return;
    }
    const { pool: service } = found.value;
    const work = { service, tokens: request.maxTokens, deadline: request.deadline };
    if (!this.mayBegin(work)) {
      yield err(stopsTooSoon());
      return;
    }
    const span = this.begin('chat', request);
    const startedAt = context.clock.now();
    let firstPartAt: number | undefined;
    let outcome = 'cancelled';
    try {
      for await (const part of runChat(context, request, found.value, origin, span, signal)) {
        const now = context.clock.now();
        firstPartAt ??= now;
        if (part.isErr()) outcome = part.error.outcome;
        else if (part.value.kind === 'end') {
          outcome = 'answered';
          this.recordTime(work, startedAt, firstPartAt, now);
        }
        yield part;
      }
    } finally {
      this.finish('chat', span, outcome);
    }
  }

  private findItem(
    bundle: PreparedBundle | undefined,
    { caller, item }: ChatRequest,
  ): Result<ChatItem, Refusal> {
    if (bundle === undefined) return err(noBundle());
    const key = bundle.canAccess(caller, item) ? bundle.itemKey(item) : undefined;
    const pool = bundle.model(modelOf(item))?.pool ?? '';
    return key === undefined ? err(unknownItem(item)) : ok({ key, pool });
  }

  private findCall({ caller, service, call, method }: ServiceRequest): Result<FoundCall, Refusal> {
    const bundle = this.options.holder.current;
    if (bundle === undefined) return err(noBundle());
    const found = bundle.canAccessService(caller, service) ? bundle.service(service) : undefined;
    const foundCall = found?.calls.find((one) => one.name === call && one.method === method);
    if (found === undefined || foundCall === undefined) {
      const message = `the call ${method} ${service}/${call} does not exist`;
      return err(notRun(RefusalCode.unknownService, message));
    }
    return ok({ service: found, call: foundCall });
  }

  /**
   * Forwards a call. If no daemon accepts it, looks up the outcome of an earlier call with the same
   * idempotency key, which may have run.
   */
  private async forwardOrFindEarlier(
    request: ServiceRequest,
    call: ServiceCall,
    span: Span,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const answer = await this.forwardCall(request, span);
    if (call.repeatable || answer.isOk() || answer.error.outcome === 'unknown') return answer;
    return (await findEarlierOutcome(this.options.context, request)) ?? answer;
  }

  /** Forwards a call to the first daemon of another domain that accepts it. */
  private async forwardCall(
    request: ServiceRequest,
    span: Span,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const { domains, clock } = this.options.context;
    let last = notRun(
      RefusalCode.noEndpoint,
      `no domain has an endpoint for ${request.service} now`,
      noEndpointRetryMs,
    );
    for (const address of domains
      .reachableOtherDomains()
      .flatMap((domain) => domains.entryAddresses(domain))) {
      const left = request.deadline - clock.now();
      if (left <= 0) return err(notRun(RefusalCode.deadlinePassed, 'the deadline has passed'));
      const answer = await this.forwardCallTo(address, request, left, span);
      // The next daemon may be tried only if this attempt certainly did not run.
      if (answer.isOk() || !isTriedElsewhere(answer.error)) return answer;
      last = answer.error;
    }
    return err(last);
  }

  private async forwardCallTo(
    address: string,
    request: ServiceRequest,
    left: number,
    parent: Span,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const { peers, telemetry } = this.options.context;
    const span = telemetry.span('peer', parent.traceparent, { peer: address });
    const { caller, deadline, traceparent, ...rest } = request;
    const message: ForwardedCall = {
      ...rest,
      kind: EntryMessage.call,
      caller: caller.name,
      deadlineMs: left,
      traceparent: span.traceparent,
    };
    const reply = await peers.request(address, message, left);
    if (reply.isErr()) {
      span.end(reply.error.kind);
      const text = `${reply.error.peer}: ${reply.error.message}`;
      const unsent = reply.error.kind === FailureKind.unreachable;
      return err(
        unsent
          ? notRun(RefusalCode.noEndpoint, text, noEndpointRetryMs)
          : outcomeUnknown(RefusalCode.outcomeUnknown, text),
      );
    }
    const answer = reply.value as ForwardedAnswer;
    span.end(answer.kind);
    if (answer.kind === EntryMessage.refused) return err(answer.refusal);
    const { kind, ...received } = answer;
    return ok(received);
  }

  private async *handleForwardedChat(
    message: Message,
    signal: AbortSignal,
  ): AsyncGenerator<Message> {
    const parsed = forwardedChatSchema.safeParse(message);
    if (!parsed.success) {
      yield { kind: EntryMessage.refused, refusal: malformed(parsed.error) };
      return;
    }
    const { clock } = this.options.context;
    const { caller: name, deadlineMs, resume, softwareVersion, kind, ...rest } = parsed.data;
    const caller = this.options.holder.current?.caller(name);
    if (caller === undefined) {
      yield { kind: EntryMessage.refused, refusal: unknownItem(rest.item) };
      return;
    }
    const request: ChatRequest = { ...rest, caller, deadline: clock.now() + deadlineMs };
    const origin = { forwarded: true, resume, softwareVersion };
    let offset = resume.length;
    for await (const part of this.runChat(request, origin, signal)) {
      yield this.toForwardedPart(part, offset);
      if (part.isOk() && part.value.kind === 'tokens') offset += part.value.tokens.length;
    }
  }

  private toForwardedPart(
    part: ChatStream extends AsyncIterable<infer P> ? P : never,
    offset: number,
  ): ForwardedPart {
    if (part.isErr()) return { kind: EntryMessage.refused, refusal: part.error };
    const { value } = part;
    return value.kind === 'tokens'
      ? { ...value, kind: EntryMessage.tokens, offset }
      : { kind: EntryMessage.end, offset, finishReason: value.finishReason };
  }

  private async handleForwardedCall(message: Message): Promise<Message> {
    const parsed = forwardedCallSchema.safeParse(message);
    const answer = parsed.success
      ? await this.serveForwarded(parsed.data)
      : err(malformed(parsed.error));
    return answer.match(
      (value): ForwardedAnswer => ({ kind: EntryMessage.answer, ...value }),
      (refusal): ForwardedAnswer => ({ kind: EntryMessage.refused, refusal }),
    );
  }

  private async serveForwarded(forwarded: ForwardedCall): Promise<Result<ServiceAnswer, Refusal>> {
    const { context, holder } = this.options;
    const { caller: name, deadlineMs, kind, ...rest } = forwarded;
    const caller = holder.current?.caller(name);
    if (caller === undefined) return err(noBundle());
    const request: ServiceRequest = {
      ...rest,
      caller,
      deadline: context.clock.now() + deadlineMs,
    };
    const found = this.findCall(request);
    if (found.isErr()) return err(found.error);
    const { service, call } = found.value;
    if (!hasPool(context.view, service.pool)) {
      const message = `this domain has no endpoint for ${service.name}`;
      return err(notRun(RefusalCode.noEndpoint, message, noEndpointRetryMs));
    }
    return this.serve('service', request, (span) =>
      runService(context, request, service.pool, call, span, new AbortController().signal),
    );
  }

  private async serve<T>(
    kind: string,
    request: ServiceRequest,
    run: (span: Span) => Promise<Result<T, Refusal>>,
  ): Promise<Result<T, Refusal>> {
    const { clock } = this.options.context;
    const work = { service: request.service, tokens: 0, deadline: request.deadline };
    if (!this.mayBegin(work)) return err(stopsTooSoon());
    const span = this.begin(kind, request);
    const startedAt = clock.now();
    const result = await run(span);
    const endedAt = clock.now();
    if (result.isOk()) this.recordTime(work, startedAt, endedAt, endedAt);
    this.finish(kind, span, result.isOk() ? 'answered' : result.error.outcome);
    return result;
  }

  private mayBegin(work: ExpectedWork): boolean {
    const { plannedStop, context } = this.options;
    return plannedStop.takes(work, context.clock.now());
  }

  private recordTime(
    { service, tokens }: ExpectedWork,
    startedAt: number,
    firstByteAt: number,
    endedAt: number,
  ): void {
    const firstByteMs = firstByteAt - startedAt;
    const restMs = endedAt - firstByteAt;
    this.options.answerTimes.record(service, { firstByteMs, restMs, tokens });
  }

  private begin(kind: string, request: ChatRequest | ServiceRequest): Span {
    this.openCount += 1;
    const { requestId, caller } = request;
    return this.options.context.telemetry.span(`entry ${kind}`, request.traceparent, {
      requestId,
      caller: caller.name,
    });
  }

  private finish(kind: string, span: Span, outcome: string): void {
    this.openCount -= 1;
    span.end(outcome);
    this.options.context.telemetry.count('currantdrift_requests_total', { kind, outcome });
  }
}
