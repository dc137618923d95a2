import type { EngineConfig, EngineFaults } from './engine-config';
import type { TokenWriter } from './token-writer';

/** Why a request left the batch. */
export type RunOutcome = 'ended' | 'broken' | 'cancelled';

/** A request in the engine. */
export interface BatchEntry {
  readonly writer: TokenWriter;
  /** Called when it gets a slot; gives the time until its first token, in ms. */
  readonly onStart: (now: number) => number;
  /** Called when it leaves; not when it leaves the queue without a slot. */
  readonly onFinish: (outcome: RunOutcome, now: number) => void;
}

interface Running extends BatchEntry {
  readonly firstTokenAt: number;
}

/** Continuous batching: all running requests advance together; others wait by priority. */
export class Batch {
  private waiting: BatchEntry[] = [];

  private readonly running = new Set<Running>();

  private timer: NodeJS.Timeout | undefined;

  private immediate: NodeJS.Immediate | undefined;

  private nextAt = 0;

  private readonly comments: NodeJS.Timeout;

  private constructor(
    private readonly config: EngineConfig,
    private readonly faults: () => EngineFaults,
  ) {
    this.comments = setInterval(() => this.comment(), config.commentMs);
  }

  static create(config: EngineConfig, faults: () => EngineFaults): Batch {
    return new Batch(config, faults);
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** True if another request can neither run nor wait. */
  get isFull(): boolean {
    return this.running.size >= this.config.slots && this.waiting.length >= this.config.queueLimit;
  }

  /** Tells whether a request for the item waits for a slot. */
  isAwaited(item: string): boolean {
    return this.waiting.some(({ writer }) => writer.generation.item === item);
  }

  add(entry: BatchEntry): void {
    const { priority } = entry.writer.generation;
    const index = this.waiting.findIndex((other) => other.writer.generation.priority < priority);
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, entry);
    this.admit(Date.now());
  }

  has(requestId: string, attempt: number): boolean {
    return this.find(requestId, attempt) !== undefined;
  }

  /** Removes requests of an attempt and ends their streams with an error. */
  cancel(requestId: string, attempt: number): void {
    const entry = this.find(requestId, attempt);
    entry?.writer.fail('the attempt was cancelled');
    if (entry !== undefined) this.remove(entry.writer);
  }

  /** Removes a request whose connection has closed. */
  remove(writer: TokenWriter): void {
    const now = Date.now();
    this.waiting = this.waiting.filter((entry) => entry.writer !== writer);
    const running = [...this.running].find((entry) => entry.writer === writer);
    if (running !== undefined) this.finish(running, 'cancelled', now);
    this.admit(now);
  }

  silence(): void {
    [...this.running, ...this.waiting].forEach(({ writer }) => writer.silence());
  }

  stop(): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
    clearInterval(this.comments);
    this.waiting = [];
    this.running.forEach((entry) => this.finish(entry, 'broken', Date.now()));
  }

  private find(requestId: string, attempt: number): BatchEntry | undefined {
    return [...this.running, ...this.waiting].find(
      ({ writer: { generation } }) =>
        generation.requestId === requestId && generation.attempt === attempt,
    );
  }

  private admit(now: number): void {
    while (this.running.size < this.config.slots) {
      const entry = this.waiting.shift();
      if (entry === undefined) break;
      this.running.add({ ...entry, firstTokenAt: now + entry.onStart(now) });
    }
    if (this.running.size > 0) this.schedule(now);
  }

  /** Time between two events of a stream at the present load, in ms. */
  private get stepMs(): number {
    const { msPerToken, batchSlowdown, slots, tokensPerEvent } = this.config;
    const share = (this.running.size - 1) / slots;
    return msPerToken * tokensPerEvent * this.faults().slowdown * (1 + batchSlowdown * share);
  }

  private schedule(now: number): void {
    if (this.timer !== undefined || this.immediate !== undefined) return;
    // Steps keep to their times although each timer fires a little late.
    this.nextAt = Math.max(now, this.nextAt + this.stepMs);
    this.timer = setTimeout(() => this.step(), this.nextAt - now);
  }

  private step(): void {
    this.timer = undefined;
    this.immediate = undefined;
    const now = Date.now();
    const faults = this.faults();
    let wrote = false;
    this.running.forEach((entry) => {
      if (entry.firstTokenAt > now) return;
      const before = entry.writer.offset;
      const outcome = entry.writer.advance(this.config.tokensPerEvent, faults, now);
      if (outcome !== 'open') this.finish(entry, outcome, now);
      wrote ||= entry.writer.offset > before;
    });
    if (this.config.msPerToken === 0 && wrote && this.running.size > 0) {
      this.immediate = setImmediate(() => this.step());
    }
    this.admit(now);
  }

  private finish(entry: Running, outcome: RunOutcome, now: number): void {
    this.running.delete(entry);
    entry.onFinish(outcome, now);
  }

  private comment(): void {
    const now = Date.now();
    [...this.running, ...this.waiting].forEach(({ writer }) =>
      writer.comment(this.config.commentMs, now),
    );
  }
}
