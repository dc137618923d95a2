import { requestKey } from '@currantdrift/core';
import type { EndpointRecord } from '@currantdrift/fleet';
import type { WatchedSend } from '@currantdrift/quarantine';
import type { ClientExchange } from './client-exchange';
import { type ClientRequest, expectedWork } from './client-request';
import type { NoEndpoint, SelectedEndpoint } from './endpoint-selection';
import { EndpointSelector } from './endpoint-selector';
import type { ForwardContext } from './forward-context';
import { EventSequence } from './event-sequence';
import { logText } from './log-text';
import { isRetryAllowed, SendFailure } from './retry';
import { Send, type SendResult, type StreamPosition } from './send';

/** How a request ended, for logs and metrics. */
export interface ForwardResult {
  readonly outcome: 'delivered' | 'passed_on' | 'refused' | 'failed' | 'cut' | 'gone' | 'timeout';
  readonly status: number;
  readonly reason: string;
}

type FailedSend = Exclude<SendResult, { kind: 'delivered' }>;

const httpStatus = { unavailable: 503, badGateway: 502, timeout: 504 } as const;

/** Forwards one request: selects an endpoint, sends the request and retries where that is allowed. */
export class ForwardRun {
  private readonly position: StreamPosition;

  private readonly tried = new Set<string>();

  /** Number of sends after which the request may have run, and number of refused sends. */
  private runs = 0;

  private refusals = 0;

  private sends = 0;

  /** Whether the request may have crashed the engine of its last send. */
  private mayHaveCrashed = false;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly client: ClientExchange,
  ) {
    this.position = {
      hasBegun: false,
      events: EventSequence.create(request.fields.resumesAfter),
      softwareVersion: undefined,
    };
  }

  static create(
    context: ForwardContext,
    request: ClientRequest,
    client: ClientExchange,
  ): ForwardRun {
    return new ForwardRun(context, request, client);
  }

  /** Whether an endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  async run(): Promise<ForwardResult> {
    const { clock } = this.context;
    const limit = new AbortController();
    const onClientGone = () => limit.abort(new Error('the client disconnected'));
    this.client.gone.addEventListener('abort', onClientGone, { once: true });
    if (this.client.gone.aborted) onClientGone();
    const timer = setTimeout(
      () => limit.abort(new Error('the deadline for the answer has passed')),
      Math.max(0, this.request.deadline - clock.now()),
    );
    const result = await this.serve(limit.signal);
    clearTimeout(timer);
    return result;
  }

  private async serve(signal: AbortSignal): Promise<ForwardResult> {
    const unknown = await this.bindToVersion();
    if (unknown !== undefined) return unknown;
    const { context, request, client, position } = this;
    const selector = EndpointSelector.create(context, request, client.gone, position);
    for (;;) {
      const found = await selector.select(this.tried);
      if (found.kind !== 'selected') return this.giveUp(found);
      const result = await this.send(found, signal);
      if (result.kind === 'delivered') {
        return { outcome: 'delivered', status: result.status, reason: '' };
      }
      if (this.client.gone.aborted) return { outcome: 'gone', status: 0, reason: result.reason };
      if (signal.aborted) return this.timeOut(result);
      if (!this.takeRetry(result)) return this.fail(result);
      if (result.kind === SendFailure.notRun) {
        await this.context.clock.sleep(this.context.settings.refusalRetryDelayMs, this.client.gone);
      }
    }
  }

  /**
   * Binds a stream that the client takes up to the software version that began it; returns the refusal if
   * that version is not known.
   */
  private async bindToVersion(): Promise<ForwardResult | undefined> {
    const { fields, route, service } = this.request;
    if (!route.resumable || fields.resumesAfter === undefined) return undefined;
    const { streamVersions, telemetry, settings } = this.context;
    const begun = fields.resumes === undefined ? undefined : requestKey(fields.resumes);
    const softwareVersion = await streamVersions.find(begun, service);
    this.position.softwareVersion = softwareVersion;
    if (softwareVersion !== undefined) return undefined;
    telemetry.count('currantdrift_unknown_streams_total');
    const reason = 'the software version that began the stream is not known';
    return this.answer('refused', httpStatus.unavailable, reason, settings.defaultRetryAfterMs);
  }

  private async send(found: SelectedEndpoint, signal: AbortSignal): Promise<SendResult> {
    const { clock, usage, telemetry, directory } = this.context;
    const { fields } = this.request;
    const { record, place } = found;
    const startedAt = clock.now();
    const limitPerS = directory.limits.rate(record);
    if (limitPerS !== undefined) {
      telemetry.count('currantdrift_limited_calls_total', { kind: 'request' });
    }
    const inventoryAgeMs = directory.inventoryAge(record.id, startedAt);
    this.sends += 1;
    const end =
      fields.model === undefined
        ? undefined
        : usage.trackRequest(record.id, fields.model, fields.adapter);
    const cancelled = new AbortController();
    const watched = this.watch(record, cancelled);
    const send = Send.create(
      this.context,
      this.request,
      this.client,
      found,
      this.position,
      watched,
    );
    const result = await send.run(AbortSignal.any([signal, cancelled.signal]));
    end?.();
    this.recordResult(result, found);
    telemetry.count('currantdrift_sends_total', { outcome: result.kind });
    telemetry.log('send', {
      id: logText(fields.id),
      send: this.sends,
      endpoint: record.id,
      address: record.address,
      domain: record.domain,
      softwareVersion: record.softwareVersion,
      model: logText(fields.model),
      service: this.request.service,
      candidates: found.candidates,
      limitPerS,
      permit: found.permit?.source,
      permitWaitMs: found.permit && Math.round(found.permit.waitedMs),
      inventoryAgeMs: inventoryAgeMs === undefined ? undefined : Math.round(inventoryAgeMs),
      predictedMs: Math.round(place.predictedMs),
      inFlight: this.context.balancer.inFlight(record.id),
      outcome: result.kind,
      reason: result.kind === 'delivered' ? undefined : result.reason,
      progress: result.kind === 'delivered' ? undefined : send.progress,
      // Requests that end their engines are recognized by these, alone or by a common part.
      digest: result.kind === 'delivered' ? undefined : this.request.digest,
      promptParts: result.kind === 'delivered' ? undefined : logText(fields.promptParts.join(',')),
      longestPauseMs:
        result.kind === 'delivered' && result.longestPauseMs !== undefined
          ? Math.round(result.longestPauseMs)
          : undefined,
      elapsedMs: Math.round(clock.now() - startedAt),
    });
    // The place at the engine is free by now, since it may take a while to tell whether the engine has ended.
    this.mayHaveCrashed = await this.endWatch(watched, result, signal);
    return result;
  }

  private watch({ id, bornAt }: EndpointRecord, cancelled: AbortController): WatchedSend {
    const { fields, service, digest } = this.request;
    const { promptParts } = fields;
    return this.context.crashes.begin(
      { service, endpoint: id, bornAt, promptParts, digest },
      (reason) => cancelled.abort(reason),
    );
  }

  /** Returns whether the request may have crashed the engine, which has ended. */
  private async endWatch(
    watched: WatchedSend,
    result: SendResult,
    signal: AbortSignal,
  ): Promise<boolean> {
    const now = this.context.clock.now();
    const isAnswered = result.kind === 'delivered' || result.kind === SendFailure.failed;
    if (isAnswered && !this.client.gone.aborted) watched.complete(now);
    const isBreak = result.kind === SendFailure.unknown || result.kind === SendFailure.broken;
    if (isBreak && !signal.aborted) return watched.examineBreak(now);
    watched.end();
    return false;
  }

  private recordResult(result: SendResult, { record, place }: SelectedEndpoint): void {
    const now = this.context.clock.now();
    this.tried.add(record.id);
    if (result.kind === SendFailure.notRun) {
      const { model, adapter } = this.request.fields;
      if (result.cause === 'absent' && model !== undefined) {
        this.context.directory.removeModel(record.id, model, adapter, now);
      }
      // A failed connection costs endpoints nothing, so it is retried for as long as time allows.
      if (result.cause !== 'unreachable') this.refusals += 1;
      place.release(result.cause === 'unreachable' ? 'unreachable' : 'refused', now);
      return;
    }
    this.runs += 1;
    const abandoned = this.client.gone.aborted;
    const served = result.kind === 'delivered' ? 'served' : 'failed';
    place.release(abandoned ? 'abandoned' : served, now);
  }

  /** Whether the request is sent again; withdraws a retry from the budget if it needs one. */
  private takeRetry(result: FailedSend): boolean {
    const { settings, budget, clock } = this.context;
    if (this.mayHaveCrashed || !this.endsBeforeStop() || !this.mayGoOn()) return false;
    const counts = { runs: this.runs, refusals: this.refusals };
    if (!isRetryAllowed(this.request.route, result.kind, counts, settings.maxRefusals))
      return false;
    // Nothing arrived at an endpoint, so sending again repeats nothing there and needs no budget.
    if (result.kind === SendFailure.notRun && result.cause === 'unreachable') return true;
    return budget(this.request.service).withdraw(clock.now());
  }

  /**
   * Whether a repeat would end before this process stops; otherwise the client tries another process. What
   * it has of a stream stays worth something, so that goes on.
   */
  private endsBeforeStop(): boolean {
    const { stop, clock } = this.context;
    return this.position.hasBegun || stop.fits(expectedWork(this.request), clock.now());
  }

  /** Whether another endpoint can tell where to go on with the stream, if it has begun. */
  private mayGoOn(): boolean {
    return !this.position.hasBegun || this.position.events.lastId !== undefined;
  }

  private giveUp({ kind, reason, status, retryAfterMs }: NoEndpoint): ForwardResult {
    if (kind === 'gone') return { outcome: 'gone', status: 0, reason };
    if (this.client.started) return this.cut(reason);
    return this.runs > 0
      ? this.answer('failed', httpStatus.badGateway, reason)
      : this.answer('refused', status ?? httpStatus.unavailable, reason, retryAfterMs);
  }

  private timeOut({ reason }: FailedSend): ForwardResult {
    if (this.client.started) return this.cut(reason);
    return this.answer('timeout', httpStatus.timeout, reason);
  }

  /** Ends a request that is not sent again after `result`. */
  private fail(result: FailedSend): ForwardResult {
    if (this.client.started) return this.cut(result.reason);
    if (this.runs === 0) {
      const { settings, stop } = this.context;
      const retryAfterMs = stop.isStopping
        ? settings.shutdownRetryAfterMs
        : settings.defaultRetryAfterMs;
      return this.answer('refused', httpStatus.unavailable, result.reason, retryAfterMs);
    }
    const { held } = result;
    if (held === undefined) {
      return this.answer('failed', httpStatus.badGateway, result.reason);
    }
    this.client.answer(held.status, held.headers, held.body);
    return { outcome: 'passed_on', status: held.status, reason: result.reason };
  }

  private cut(reason: string): ForwardResult {
    this.client.cut();
    return { outcome: 'cut', status: 0, reason };
  }

  private answer(
    outcome: ForwardResult['outcome'],
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): ForwardResult {
    this.client.fail(status, outcome, reason, retryAfterMs);
    return { outcome, status, reason };
  }
}
