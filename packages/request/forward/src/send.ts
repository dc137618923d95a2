import type { Head, OpenAnswer } from '@currantdrift/http';
import { RequestKind } from '@currantdrift/routes';
import { type ClientExchange, Framing } from './client-exchange';
import type { ClientRequest } from './client-request';
import { EventSplitter } from './event-splitter';
import type { ForwardContext } from './forward-context';
import type { Placed } from './placement';
import { SendEnd } from './retry';

/** An endpoint's whole answer that was not passed on yet. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** How the end of an endpoint's answer is marked. */
const framingOf = ({ headers }: Head): Framing =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
    ? Framing.connection
    : Framing.chunks;

/** How a send ended. */
export type SendResult =
  /** The answer was passed on to its end, or as far as the client wanted it. */
  | {
      readonly kind: 'delivered';
      readonly status: number;
      /** Longest time between two parts of a stream, in ms. */
      readonly longestPauseMs?: number;
    }
  | {
      readonly kind: SendEnd;
      readonly reason: string;
      /** Why the endpoint did not run the request. */
      readonly cause?: 'unreachable' | 'absent' | 'refused';
      /** The endpoint's own answer, if it can be passed on. */
      readonly held?: HeldAnswer;
    };

/** What the client has received of a stream. */
export interface StreamPosition {
  /** Whether the head of the answer was sent. */
  begun: boolean;
  lastEventId: string | undefined;
}

/** One send of a request to one endpoint. */
export class Send {
  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly client: ClientExchange,
    private readonly placed: Placed,
    private readonly position: StreamPosition,
  ) {}

  static create(
    context: ForwardContext,
    request: ClientRequest,
    client: ClientExchange,
    placed: Placed,
    position: StreamPosition,
  ): Send {
    return new Send(context, request, client, placed, position);
  }

  /** `signal` ends the send, as when the client leaves or the time is up. */
  async run(signal: AbortSignal): Promise<SendResult> {
    const { clock, telemetry } = this.context;
    const startedAt = clock.now();
    const opened = await this.open(signal, startedAt);
    if (opened.isErr()) {
      const { kind, message } = opened.error;
      return kind === 'unreachable'
        ? { kind: SendEnd.notRun, reason: message, cause: 'unreachable' }
        : { kind: SendEnd.unknown, reason: message };
    }
    const answer = opened.value;
    this.context.signals.observe(this.placed.record, answer);
    this.noteLoad(answer);
    const misfit = this.misfit(answer);
    if (misfit !== undefined) {
      answer.exchange.stop(new Error(misfit.reason));
      return misfit;
    }
    const firstByteMs = clock.now() - startedAt;
    this.placed.place.observeFirstByte(firstByteMs);
    telemetry.observe('currantdrift_first_byte_seconds', firstByteMs / 1000);
    const isStream = this.request.route.kind === RequestKind.stream && answer.status === 200;
    return isStream ? this.relay(answer) : this.hold(answer);
  }

  private open(signal: AbortSignal, now: number) {
    const { protocol, client } = this.context;
    const { record } = this.placed;
    const { headers, body, method, path, endsAt, route } = this.request;
    const deadlineMs = Math.max(1, Math.floor(endsAt - now));
    return client(record).open({
      step: 'request.send',
      method,
      path,
      headers: protocol.requestHeaders(headers, {
        endpoint: record.id,
        deadlineMs,
        urgency: this.request.fields.model === undefined ? undefined : route.priority,
        resumeAfter: this.position.lastEventId,
      }),
      body: body.length > 0 ? body : undefined,
      progressTimeoutMs: deadlineMs,
      signal,
    });
  }

  private noteLoad(head: Head): void {
    const load = this.context.protocol.reportedLoad(head);
    if (load === undefined) return;
    this.placed.place.observeLoad(load.running, load.waiting, this.context.clock.now());
  }

  /** Set if the answer must not be passed on. */
  private misfit(head: Head): Exclude<SendResult, { kind: 'delivered' }> | undefined {
    const { protocol } = this.context;
    if (protocol.isNotRun(head)) {
      const cause = protocol.isMisdirected(head) ? 'absent' : 'refused';
      return { kind: SendEnd.notRun, reason: `refused with status ${head.status}`, cause };
    }
    const answered = protocol.responseRequestId(head);
    if (answered !== undefined && answered !== this.request.fields.id) {
      return { kind: SendEnd.unknown, reason: `answer to another request, ${answered}` };
    }
    if (head.status < 300 && !protocol.isSealed(head)) {
      return { kind: SendEnd.unknown, reason: 'success that the endpoint does not vouch for' };
    }
    return undefined;
  }

  /** Reads a whole answer before any of it is passed on. */
  private async hold(answer: OpenAnswer): Promise<SendResult> {
    const { protocol, client } = this.context;
    const read = await client(this.placed.record).body('request.send', answer);
    if (read.isErr()) return { kind: SendEnd.unknown, reason: read.error.message };
    const { status, body } = read.value;
    const held = { status, headers: protocol.responseHeaders(answer.headers), body };
    if (status >= 500) return { kind: SendEnd.failed, reason: `status ${status}`, held };
    if (this.position.begun) {
      return { kind: SendEnd.broken, reason: `status ${status} instead of the rest of a stream` };
    }
    await this.deliver(held, framingOf(answer));
    return { kind: 'delivered', status };
  }

  private async deliver({ status, headers, body }: HeldAnswer, framing: Framing): Promise<void> {
    if (framing === Framing.chunks) {
      this.client.answer(status, headers, body);
      return;
    }
    this.client.begin(status, headers, framing);
    await this.client.write(body);
    this.client.end();
  }

  /** Passes whole events on as they arrive. */
  private async relay(answer: OpenAnswer): Promise<SendResult> {
    const { clock } = this.context;
    const splitter = EventSplitter.create();
    let longestPauseMs = 0;
    let lastAt: number | undefined;
    for (;;) {
      const chunk = await answer.exchange.read();
      if (chunk.isErr()) return this.broken(chunk.error.message);
      if (chunk.value === undefined) return this.finish(answer, splitter, longestPauseMs);
      const events = splitter.push(chunk.value);
      const { maxEventBytes } = this.context.settings;
      if (splitter.remainder.length > maxEventBytes) {
        const reason = `an event is above ${maxEventBytes} bytes`;
        answer.exchange.stop(new Error(reason));
        return this.broken(reason);
      }
      if (events !== undefined) {
        const now = clock.now();
        longestPauseMs = Math.max(longestPauseMs, now - (lastAt ?? now));
        lastAt = now;
        this.begin(answer);
        this.position.lastEventId = events.lastId ?? this.position.lastEventId;
        await this.client.write(events.bytes);
      }
    }
  }

  private finish(answer: OpenAnswer, splitter: EventSplitter, longestPauseMs: number): SendResult {
    if (splitter.remainder.length > 0) return this.broken('the stream ended within an event');
    this.begin(answer);
    this.context.telemetry.observe('currantdrift_stream_pause_seconds', longestPauseMs / 1000);
    this.client.end();
    return { kind: 'delivered', status: answer.status, longestPauseMs };
  }

  private begin(answer: OpenAnswer): void {
    if (this.position.begun) return;
    this.position.begun = true;
    const headers = this.context.protocol.responseHeaders(answer.headers);
    this.client.begin(answer.status, headers, framingOf(answer));
  }

  private broken(reason: string): SendResult {
    return { kind: this.position.begun ? SendEnd.broken : SendEnd.unknown, reason };
  }
}
