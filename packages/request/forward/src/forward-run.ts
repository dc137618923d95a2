import type { ClientExchange } from './client-exchange';
import type { ClientRequest } from './client-request';
import type { ForwardContext } from './forward-context';
import { type Placed, Placement, type Unplaced } from './placement';
import { maySendAgain, SendEnd } from './retry';
import { Send, type SendResult, type StreamPosition } from './send';

/** What a request ended with, for logs and metrics. */
export interface Ending {
  readonly outcome: 'delivered' | 'passed_on' | 'refused' | 'failed' | 'cut' | 'gone' | 'timeout';
  readonly status: number;
  readonly reason: string;
}

type FailedSend = Exclude<SendResult, { kind: 'delivered' }>;

const statusOf = { unavailable: 503, badGateway: 502, timeout: 504 } as const;

/** Serves one request: finds an endpoint, sends, and sends again where that is allowed. */
export class ForwardRun {
  private readonly position: StreamPosition = { begun: false, lastEventId: undefined };

  private readonly tried = new Set<string>();

  /** Endpoints at which the request may have run, and sends that were refused. */
  private runs = 0;

  private refusals = 0;

  private sends = 0;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly client: ClientExchange,
  ) {}

  static create(
    context: ForwardContext,
    request: ClientRequest,
    client: ClientExchange,
  ): ForwardRun {
    return new ForwardRun(context, request, client);
  }

  async run(): Promise<Ending> {
    const { clock } = this.context;
    const limit = new AbortController();
    const onGone = () => limit.abort(new Error('the client has left'));
    this.client.gone.addEventListener('abort', onGone, { once: true });
    if (this.client.gone.aborted) onGone();
    const timer = setTimeout(
      () => limit.abort(new Error('the time for the answer is up')),
      Math.max(0, this.request.endsAt - clock.now()),
    );
    const ending = await this.serve(limit.signal);
    clearTimeout(timer);
    return ending;
  }

  private async serve(signal: AbortSignal): Promise<Ending> {
    const placement = Placement.create(this.context, this.request, this.client.gone);
    for (;;) {
      const found = await placement.find(this.tried);
      if (found.kind !== 'placed') return this.giveUp(found);
      const result = await this.send(found, signal);
      if (result.kind === 'delivered') {
        return { outcome: 'delivered', status: result.status, reason: '' };
      }
      if (this.client.gone.aborted) return { outcome: 'gone', status: 0, reason: result.reason };
      if (signal.aborted) return this.timeOut(result);
      if (!this.mayGoOn(result)) return this.fail(result);
      if (result.kind === SendEnd.notRun) {
        await this.context.clock.sleep(this.context.settings.refusalPauseMs, this.client.gone);
      }
    }
  }

  private async send(found: Placed, signal: AbortSignal): Promise<SendResult> {
    const { clock, usage, telemetry, directory } = this.context;
    const { fields } = this.request;
    const { record, place } = found;
    const startedAt = clock.now();
    const inventoryAgeMs = directory.inventoryAge(record.id, startedAt);
    this.sends += 1;
    const end =
      fields.model === undefined ? undefined : usage.begin(record.id, fields.model, fields.adapter);
    const send = Send.create(this.context, this.request, this.client, found, this.position);
    const result = await send.run(signal);
    end?.();
    this.account(result, found);
    telemetry.count('currantdrift_sends_total', { outcome: result.kind });
    telemetry.log('send', {
      id: fields.id,
      send: this.sends,
      endpoint: record.id,
      address: record.address,
      domain: record.domain,
      model: fields.model,
      service: this.request.service,
      candidates: found.candidates,
      inventoryAgeMs: inventoryAgeMs === undefined ? undefined : Math.round(inventoryAgeMs),
      predictedMs: Math.round(place.predictedMs),
      inFlight: this.context.choice.inFlight(record.id),
      outcome: result.kind,
      reason: result.kind === 'delivered' ? undefined : result.reason,
      longestPauseMs:
        result.kind === 'delivered' && result.longestPauseMs !== undefined
          ? Math.round(result.longestPauseMs)
          : undefined,
      elapsedMs: Math.round(clock.now() - startedAt),
    });
    return result;
  }

  private account(result: SendResult, { record, place }: Placed): void {
    const now = this.context.clock.now();
    this.tried.add(record.id);
    if (result.kind === SendEnd.notRun) {
      const { model, adapter } = this.request.fields;
      if (result.cause === 'absent' && model !== undefined) {
        this.context.directory.removeModel(record.id, model, adapter, now);
      }
      // What could not be reached costs the endpoints nothing, and may be tried as often as time allows.
      if (result.cause !== 'unreachable') this.refusals += 1;
      place.release(result.cause === 'unreachable' ? 'unreachable' : 'refused', now);
      return;
    }
    this.runs += 1;
    const abandoned = this.client.gone.aborted;
    const served = result.kind === 'delivered' ? 'served' : 'failed';
    place.release(abandoned ? 'abandoned' : served, now);
  }

  /** Whether the request is sent again; takes from the budget if so. */
  private mayGoOn(result: FailedSend): boolean {
    const { settings, budget, clock } = this.context;
    const tries = { runs: this.runs, refusals: this.refusals };
    if (!maySendAgain(this.request.route, result.kind, tries, settings.maxRefusals)) return false;
    // Nothing arrived at an endpoint, so nothing is repeated there.
    if (result.kind === SendEnd.notRun && result.cause === 'unreachable') return true;
    return budget(this.request.service).withdraw(clock.now());
  }

  private giveUp({ kind, reason, retryAfterMs }: Unplaced): Ending {
    if (kind === 'gone') return { outcome: 'gone', status: 0, reason };
    if (this.client.started) return this.cut(reason);
    return this.runs > 0
      ? this.answer('failed', statusOf.badGateway, reason)
      : this.answer('refused', statusOf.unavailable, reason, retryAfterMs);
  }

  private timeOut({ reason }: FailedSend): Ending {
    if (this.client.started) return this.cut(reason);
    return this.answer('timeout', statusOf.timeout, reason);
  }

  /** Ends a request that is not sent again after `result`. */
  private fail(result: FailedSend): Ending {
    if (this.client.started) return this.cut(result.reason);
    if (this.runs === 0) {
      const { defaultRetryAfterMs } = this.context.settings;
      return this.answer('refused', statusOf.unavailable, result.reason, defaultRetryAfterMs);
    }
    const { held } = result;
    // A client would take these as a promise that the request did not run.
    const promises = held?.status === 503;
    if (held === undefined || promises) {
      return this.answer('failed', statusOf.badGateway, result.reason);
    }
    this.client.answer(held.status, held.headers, held.body);
    return { outcome: 'passed_on', status: held.status, reason: result.reason };
  }

  private cut(reason: string): Ending {
    this.client.cut();
    return { outcome: 'cut', status: 0, reason };
  }

  private answer(
    outcome: Ending['outcome'],
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): Ending {
    this.client.fail(status, outcome, reason, retryAfterMs);
    return { outcome, status, reason };
  }
}
