import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Order,
  OrderKind,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type StreamPart,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type AnswerFaults, type EndpointRun, noAnswerFaults } from './endpoint-run';
import type { FakeEngine } from './engine';

type Parts = AsyncIterable<Result<StreamPart, Failure>>;

/** Time after which a crashed engine is back, in ms. */
const restartMs = 3_000;

/** The true text of token `offset` of the answer to a prompt. */
export const trueToken = (prompt: string, offset: number): string => `${prompt}.${offset} `;

/** Marks a token with the software version that wrote it, if its engine reports one. */
const mark = (token: string, softwareVersion: string | undefined): string =>
  softwareVersion === undefined ? token : `${token.trimEnd()}@${softwareVersion} `;

/** The text without the marks of software versions. */
export const withoutMarks = (text: string): string => text.replaceAll(/@\S+ /gu, ' ');

/** The software versions that wrote a text. */
export const softwareVersionsIn = (text: string): ReadonlySet<string> =>
  new Set([...text.matchAll(/@(\S+) /gu)].map(([, version]) => version));

/**
 * A `FakeEngine` that records what it runs, generates as many streams at once as it has slots, and whose answers have a text of their own, so that a
 * part of another answer can be told apart.
 */
export class ObservedEngine implements Endpoint {
  readonly answers: AnswerFaults = { ...noAnswerFaults };

  /** Requests a second that it says it takes; undefined for no limit. */
  requestLimitPerS: number | undefined;

  /** The process dies in the middle of the next load. */
  diesInNextLoad = false;

  /** Contents of messages that crash the engine when it begins to answer them. */
  crashingContents: ReadonlySet<string> = new Set();

  /** Called when such a message has crashed the engine; `isLast` if it was the last one of the prompt. */
  onCrash: (content: string, isLast: boolean) => void = () => {};

  /** Called for each request that the engine accepts. */
  onRun: (run: EndpointRun) => void = () => {};

  /** Last part that was sent on some stream. */
  private stray: StreamPart | undefined;

  /** Streams that generate now. */
  private generating = 0;

  /** Streams that wait for a slot, first come first served. */
  private waiting: (() => void)[] = [];

  private constructor(
    readonly engine: FakeEngine,
    private readonly clock: Clock,
  ) {}

  static create(engine: FakeEngine, clock: Clock): ObservedEngine {
    return new ObservedEngine(engine, clock);
  }

  get id(): string {
    return this.engine.id;
  }

  get domain(): string {
    return this.engine.domain;
  }

  get pool(): string {
    return this.engine.pool;
  }

  get fencing(): boolean {
    return this.engine.fencing;
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<Parts, Failure>> {
    const opened = await this.engine.generate(generation, signal);
    if (opened.isErr()) return opened;
    const { requestId, item } = generation;
    this.onRun({ at: this.clock.now(), endpoint: this.id, requestId, item });
    return ok(this.texts(opened.value, generation, signal));
  }

  call(call: ServiceCallRequest): Promise<Result<ServiceCallResponse, Failure>> {
    return this.engine.call(call);
  }

  order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    if (this.diesInNextLoad && order.kind === OrderKind.load) {
      this.diesInNextLoad = false;
      const halfway = this.engine.options.loadMs.disk / 2;
      this.clock.sleep(halfway).then(() => this.engine.restart());
    }
    return this.engine.order(order, signal);
  }

  async report(): Promise<Result<EndpointReport, Failure>> {
    const { requestLimitPerS } = this;
    const report = await this.engine.report();
    return requestLimitPerS === undefined
      ? report
      : report.map((value) => ({ ...value, requestLimitPerS }));
  }

  cacheEvents(after: number): Promise<Result<readonly CacheEvent[], Failure>> {
    return this.engine.cacheEvents(after);
  }

  cancel(requestId: string, attempt: number): Promise<void> {
    return this.engine.cancel(requestId, attempt);
  }

  private async *texts(
    parts: Parts,
    { messages }: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    await this.takeSlot(signal);
    try {
      const crashing = messages.find(({ content }) => this.crashingContents.has(content));
      if (crashing === undefined) yield* this.ownTexts(parts, messages, signal);
      else yield* this.crash(crashing.content, crashing === messages.at(-1), signal);
    } finally {
      this.freeSlot();
    }
  }

  private async takeSlot(signal: AbortSignal): Promise<void> {
    if (this.generating < this.engine.options.slots) {
      this.generating += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
      const leave = () => {
        if (!this.waiting.includes(resolve)) return;
        this.waiting = this.waiting.filter((one) => one !== resolve);
        // The end of the stream gives back a slot that it did not get.
        this.generating += 1;
        resolve();
      };
      if (signal.aborted) leave();
      else signal.addEventListener('abort', leave, { once: true });
    });
  }

  /** Passes the slot to the stream that waits longest. */
  private freeSlot(): void {
    const next = this.waiting.shift();
    if (next === undefined) this.generating -= 1;
    else next();
  }

  /** Ends the process as it begins to answer; another start follows after a while. */
  private async *crash(
    content: string,
    isLast: boolean,
    signal: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const { bootId, faults } = this.engine;
    await this.clock.sleep(this.engine.options.tokenMs, signal);
    if (signal.aborted) return;
    if (bootId === this.engine.bootId) {
      this.engine.restart();
      faults.cut = true;
      this.clock.sleep(restartMs).then(() => {
        faults.cut = false;
      });
      this.onCrash(content, isLast);
    }
    yield err(this.lost('generate'));
  }

  private async *ownTexts(
    parts: Parts,
    messages: GenerationRequest['messages'],
    signal: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const prompt = messages.map(({ content }) => content).join(' ');
    const { softwareVersion } = this.engine.options;
    if (this.answers.lateMs > 0) await this.clock.sleep(this.answers.lateMs, signal);
    for await (const part of parts) {
      if (this.answers.lost) {
        yield err(this.lost('generate'));
        return;
      }
      if (part.isErr()) {
        yield part;
        return;
      }
      const { value } = part;
      const own: StreamPart =
        value.kind === 'end'
          ? value
          : {
              ...value,
              tokens: value.tokens.map((_, index) =>
                mark(trueToken(prompt, value.offset + index), softwareVersion),
              ),
            };
      const { stray } = this;
      this.stray = own;
      const isOther = stray?.requestId !== own.requestId || stray.attempt !== own.attempt;
      if (this.answers.crossed && stray !== undefined && isOther) yield ok(stray);
      yield ok(own);
    }
  }

  private lost(call: string): Failure {
    const message = 'the answer was lost';
    return { kind: FailureKind.unknown, step: `endpoint.${call}`, peer: this.id, message };
  }
}
