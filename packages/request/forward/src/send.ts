import { requestKey } from '@currantdrift/core';
import { endsWithConnection, type Head, impliesNotRun, type OpenAnswer } from '@currantdrift/http';
import type { WatchedSend } from '@currantdrift/quarantine';
import { RequestKind } from '@currantdrift/routes';
import type { ClientExchange } from './client-exchange';
import type { ClientRequest } from './client-request';
import type { SelectedEndpoint } from './endpoint-selection';
import type { EventSequence } from './event-sequence';
import { beginsWithId, type CompleteEvents, EventSplitter } from './event-splitter';
import type { ForwardContext } from './forward-context';
import { SendFailure } from './retry';

/** A complete answer of an endpoint that has not been relayed yet. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/**
 * Time by which the progress timeout exceeds the deadline, in ms, so that a request whose time is up ends by
 * its deadline and not as a failure of its endpoint.
 */
const deadlineSlackMs = 50;

const isEventStream = ({ headers }: Head): boolean =>
  String(headers['content-type']).startsWith('text/event-stream');

/** How far an endpoint has answered a send. */
export const AnswerProgress = {
  /** Nothing was received. */
  none: 'none',
  /** The head of the answer was received, and no complete event or body. */
  begun: 'begun',
  /** At least one event of a stream was received. */
  streaming: 'streaming',
} as const;
export type AnswerProgress = (typeof AnswerProgress)[keyof typeof AnswerProgress];

/** How a send ended. */
export type SendResult =
  /** The answer was relayed to its end, or until the client disconnected. */
  | {
      readonly kind: 'delivered';
      readonly status: number;
      /** Longest time between two relayed chunks of a stream, in ms. */
      readonly longestPauseMs?: number;
    }
  | {
      readonly kind: SendFailure;
      readonly reason: string;
      /** Why the endpoint did not run the request. */
      readonly cause?: 'unreachable' | 'absent' | 'refused';
      /** The endpoint's own answer, if it can be relayed. */
      readonly held?: BufferedAnswer;
    };

/** How much of a stream was relayed to the client. */
export interface StreamPosition {
  /** Whether the head of the answer was relayed. */
  hasBegun: boolean;
  /** The events that the client has. */
  readonly events: EventSequence;
  /** Software version at which the stream began and may go on; undefined until it has begun. */
  softwareVersion: string | undefined;
}

/** One send of a request to one endpoint. */
export class Send {
  private answerProgress: AnswerProgress = AnswerProgress.none;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly client: ClientExchange,
    private readonly selected: SelectedEndpoint,
    private readonly position: StreamPosition,
    private readonly watched: WatchedSend,
  ) {}

  static create(
    context: ForwardContext,
    request: ClientRequest,
    client: ClientExchange,
    selected: SelectedEndpoint,
    position: StreamPosition,
    watched: WatchedSend,
  ): Send {
    return new Send(context, request, client, selected, position, watched);
  }

  /** How far the endpoint has answered. */
  get progress(): AnswerProgress {
    return this.answerProgress;
  }

  /** `signal` aborts the send when the client disconnects or the deadline passes. */
  async run(signal: AbortSignal): Promise<SendResult> {
    const { clock, telemetry } = this.context;
    const startedAt = clock.now();
    const opened = await this.open(signal, startedAt);
    if (opened.isErr()) {
      const { kind, message } = opened.error;
      return kind === 'unreachable'
        ? { kind: SendFailure.notRun, reason: message, cause: 'unreachable' }
        : { kind: SendFailure.unknown, reason: message };
    }
    const answer = opened.value;
    this.context.signals.observe(this.selected.record, answer, startedAt);
    this.recordLoad(answer);
    const rejection = this.checkHead(answer);
    if (rejection !== undefined) {
      answer.exchange.stop(new Error(rejection.reason));
      return rejection;
    }
    this.answerProgress = AnswerProgress.begun;
    this.watched.recordBegin(clock.now());
    const firstByteMs = clock.now() - startedAt;
    this.selected.place.observeFirstByte(firstByteMs, clock.now());
    telemetry.observe('currantdrift_first_byte_seconds', firstByteMs / 1000);
    const isStream = this.request.route.kind === RequestKind.stream && answer.status === 200;
    if (isStream && this.goesOn && !isEventStream(answer)) {
      return this.reject(answer, 'an answer of another type instead of the remaining stream');
    }
    if (isStream && this.request.route.resumable) this.recordStream();
    const result = await (isStream ? this.relay(answer, signal) : this.bufferAnswer(answer));
    if (result.kind === 'delivered' && !this.client.gone.aborted) {
      this.recordTime(firstByteMs, clock.now() - startedAt);
    }
    return result;
  }

  private recordTime(firstByteMs: number, elapsedMs: number): void {
    const { fields, service } = this.request;
    const restMs = elapsedMs - firstByteMs;
    this.context.answerTimes.record(service, { firstByteMs, restMs, tokens: fields.maxNewTokens });
  }

  private open(signal: AbortSignal, now: number) {
    const { protocol, client, authorizer, clock } = this.context;
    const { record } = this.selected;
    const { headers, body, method, path, deadline } = this.request;
    const deadlineMs = Math.max(1, Math.floor(deadline - now));
    return client(record).open({
      step: 'request.send',
      method,
      path,
      headers: protocol.requestHeaders(headers, {
        endpoint: record.id,
        deadlineMs,
        urgency: this.request.fields.model === undefined ? undefined : this.request.priority,
        identity: this.request.authorized.identity,
        resumeAfter: this.position.hasBegun ? this.position.events.lastId : undefined,
      }),
      body: body.length > 0 ? body : undefined,
      progressTimeoutMs: deadlineMs + deadlineSlackMs,
      signal,
      // The key may be withdrawn while the connection opens, or the process be suspended.
      maySend: () => authorizer.recheck(this.request.authorized, clock.now()) === undefined,
    });
  }

  private recordLoad(head: Head): void {
    const load = this.context.protocol.reportedLoad(head);
    if (load === undefined) return;
    this.selected.place.observeLoad(load, this.context.clock.now());
  }

  /** Returns the result of the send if the answer must not be relayed. */
  private checkHead(head: Head): Exclude<SendResult, { kind: 'delivered' }> | undefined {
    const { protocol } = this.context;
    // A refusal of another request says nothing of whether this one has run.
    const answeredId = protocol.responseRequestId(head);
    if (answeredId !== undefined && answeredId !== this.request.fields.id) {
      return { kind: SendFailure.unknown, reason: `answer to another request, ${answeredId}` };
    }
    if (protocol.isNotRun(head)) {
      const cause = protocol.isMisdirected(head) ? 'absent' : 'refused';
      return { kind: SendFailure.notRun, reason: `refused with status ${head.status}`, cause };
    }
    if (head.status < 300 && !protocol.isSealed(head)) {
      return { kind: SendFailure.unknown, reason: 'success without the seal of an endpoint' };
    }
    return undefined;
  }

  /** Reads a complete answer before relaying any of it. */
  private async bufferAnswer(answer: OpenAnswer): Promise<SendResult> {
    const { protocol, client } = this.context;
    const read = await client(this.selected.record).body('request.send', answer);
    if (read.isErr()) return { kind: SendFailure.unknown, reason: read.error.message };
    const { status, body } = read.value;
    const held = { status, headers: protocol.responseHeaders(answer.headers), body };
    // An endpoint that did not run the request says so in a header of its own; the status says nothing.
    if (impliesNotRun(status)) return { kind: SendFailure.failed, reason: `status ${status}` };
    if (status >= 500) return { kind: SendFailure.failed, reason: `status ${status}`, held };
    if (this.position.hasBegun) {
      return {
        kind: SendFailure.broken,
        reason: `status ${status} instead of the remaining stream`,
      };
    }
    this.request.times.recordFirstByte(this.context.clock.now());
    if (endsWithConnection(answer)) await this.client.answerUnmarked(status, held.headers, body);
    else this.client.answer(status, held.headers, body);
    return { kind: 'delivered', status };
  }

  /** Whether the answer goes on with a stream that the client has the beginning of. */
  private get goesOn(): boolean {
    return this.position.hasBegun || this.position.events.lastId !== undefined;
  }

  /** Relays complete events as they arrive. */
  private async relay(answer: OpenAnswer, signal: AbortSignal): Promise<SendResult> {
    const { clock } = this.context;
    const splitter = EventSplitter.create();
    const isRest = this.position.hasBegun;
    let longestPauseMs = 0;
    let lastAt: number | undefined;
    for (;;) {
      const chunk = await answer.exchange.read();
      if (chunk.isErr()) return this.broken(chunk.error.message);
      if (chunk.value === undefined) {
        return this.finish(answer, splitter, isRest, longestPauseMs);
      }
      const events = splitter.push(chunk.value);
      const { maxEventBytes } = this.context.settings;
      if (splitter.remainder.length > maxEventBytes) {
        return this.reject(answer, `an event exceeds ${maxEventBytes} bytes`);
      }
      if (events !== undefined) {
        const misfit = this.append(events);
        if (misfit !== undefined) return this.reject(answer, misfit);
        const now = clock.now();
        longestPauseMs = Math.max(longestPauseMs, now - (lastAt ?? now));
        lastAt = now;
        this.answerProgress = AnswerProgress.streaming;
        this.watched.recordEvent(now);
        this.begin(answer);
        await this.client.write(events.bytes, signal);
      }
    }
  }

  /** Notes that events are about to be relayed; returns why they must not be. */
  private append(events: CompleteEvents): string | undefined {
    const isFirst = this.answerProgress !== AnswerProgress.streaming;
    const beginsRest = isFirst && this.goesOn;
    if (beginsRest && !beginsWithId(events)) return 'text instead of the remaining events';
    return this.position.events.append(events.ids, beginsRest);
  }

  /** Ends a send whose answer must not be relayed any further. */
  private reject(answer: OpenAnswer, reason: string): SendResult {
    answer.exchange.stop(new Error(reason));
    return this.broken(reason);
  }

  /** `isRest`: the answer goes on with a stream that this process has begun to relay. */
  private finish(
    answer: OpenAnswer,
    splitter: EventSplitter,
    isRest: boolean,
    longestPauseMs: number,
  ): SendResult {
    if (splitter.remainder.length > 0) return this.broken('the stream ended within an event');
    // The end of a connection does not tell a complete answer from a crash before the first event.
    const isEmpty = this.answerProgress !== AnswerProgress.streaming;
    if (isEmpty && endsWithConnection(answer)) {
      return this.broken('the stream ended before its first event');
    }
    // Nothing tells a stream without a remaining event from an answer that has lost its events, so the client
    // is not told that it has all; it may take the stream up.
    if (isEmpty && isRest) return this.broken('no event instead of the remaining stream');
    this.begin(answer);
    this.context.telemetry.observe('currantdrift_stream_pause_seconds', longestPauseMs / 1000);
    this.client.end();
    return { kind: 'delivered', status: answer.status, longestPauseMs };
  }

  private recordStream(): void {
    const { fields, service } = this.request;
    const { softwareVersion } = this.selected.record;
    const request = requestKey(fields.id);
    this.context.streamVersions.record({ request, service, softwareVersion });
  }

  private begin(answer: OpenAnswer): void {
    if (this.position.hasBegun) return;
    this.position.hasBegun = true;
    this.request.times.recordFirstByte(this.context.clock.now());
    this.position.softwareVersion = this.selected.record.softwareVersion;
    const headers = this.context.protocol.responseHeaders(answer.headers);
    this.client.begin(answer.status, headers);
  }

  private broken(reason: string): SendResult {
    return { kind: this.position.hasBegun ? SendFailure.broken : SendFailure.unknown, reason };
  }
}
