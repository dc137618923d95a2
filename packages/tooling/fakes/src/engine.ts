import {
  type CacheEvent,
  CacheTier,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  hash32,
  type HostState,
  type LoadedItem,
  modelOf,
  type Order,
  OrderKind,
  parseItemKey,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type StreamPart,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';

/** Properties of a `FakeEngine`; durations are in ms. */
export interface EngineOptions {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  readonly fencing: boolean;
  readonly memoryBytes: number;
  /** Requests that run at once. */
  readonly slots: number;
  /** Duration of a load by the tier that holds the checkpoint. */
  readonly loadMs: Readonly<Record<CacheTier, number>>;
  readonly unloadMs: number;
  /** Time between two tokens. */
  readonly tokenMs: number;
  /** Tokens of an answer, if the request allows as many. */
  readonly answerTokens: number;
  /** Version of its software that it reports; answers of two versions do not fit together. */
  readonly softwareVersion?: string;
}

/** Faults that a test can switch at any time. */
export interface EngineFaults {
  /** Calls fail as unreachable. */
  cut: boolean;
  /** Time of each call, in ms; half before its effect, half after. */
  latencyMs: number;
  /** Extra time, in ms, before an order takes effect; it does so even if the caller gave up. */
  orderDelayMs: (order: Order) => number;
  /** Decides, when an order is finished, whether its answer is lost. */
  losesAnswer: (order: Order) => boolean;
}

interface Held {
  readonly item: string;
  readonly bytes: number;
  state: LoadedItem['state'];
  running: number;
}

const defaultOptions: Omit<EngineOptions, 'id'> = {
  domain: 'perth-north',
  pool: 'writer',
  fencing: true,
  memoryBytes: 80e9,
  slots: 8,
  loadMs: { memory: 500, disk: 4_000, remote: 20_000 },
  unloadMs: 200,
  tokenMs: 20,
  answerTokens: 16,
};

/** Resolves when `signal` aborts. */
const aborted = (signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });

/**
 * A model engine in memory. It carries out any load it is ordered to, even beyond its memory, so
 * that a checker can compare `usedBytes` with `options.memoryBytes`. The highest epoch it has
 * seen survives `restart`; the items in accelerator memory and the ids of finished orders do not.
 */
export class FakeEngine implements Endpoint {
  readonly faults: EngineFaults = {
    cut: false,
    latencyMs: 0,
    orderDelayMs: () => 0,
    losesAnswer: () => false,
  };

  /** State that the engine reports; set to `leaving` before its host is reclaimed. */
  state: HostState = 'live';

  /** Called after each change of the items in accelerator memory. */
  onChange: () => void = () => {};

  /** Every order that took effect or was refused by the engine, in order of arrival. */
  readonly arrived: Order[] = [];

  private boot = 1;

  private sequence = 0;

  private epoch = 0;

  private held = new Map<string, Held>();

  private orders = new Map<string, Promise<Result<void, Failure>>>();

  private readonly cached = new Map<string, CacheTier>();

  private events: CacheEvent[] = [];

  private readonly cancelled = new Set<string>();

  private constructor(
    readonly options: EngineOptions,
    private readonly clock: Clock,
  ) {}

  static create(clock: Clock, options: Partial<EngineOptions> & { id: string }): FakeEngine {
    return new FakeEngine({ ...defaultOptions, ...options }, clock);
  }

  get id(): string {
    return this.options.id;
  }

  get domain(): string {
    return this.options.domain;
  }

  get pool(): string {
    return this.options.pool;
  }

  get fencing(): boolean {
    return this.options.fencing;
  }

  get bootId(): string {
    return `${this.id}-boot-${this.boot}`;
  }

  /** True contents of accelerator memory, without lag. */
  get items(): readonly LoadedItem[] {
    return [...this.held.values()].map((held) => ({ ...held }));
  }

  /** Bytes that the items in accelerator memory take now, items being loaded included. */
  get usedBytes(): number {
    return this.items.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Says where the checkpoint of an item is kept; an item never named is remote. */
  cache(item: string, tier: CacheTier): void {
    this.cached.set(item, tier);
  }

  /** Changes the number of streams that use an item, as if requests started or ended. */
  setRunning(item: string, running: number): void {
    const held = this.held.get(item);
    if (held !== undefined) held.running = running;
  }

  /** Starts the process anew: accelerator memory is empty and running orders are lost. */
  restart(): void {
    this.boot += 1;
    this.sequence = 0;
    this.held = new Map();
    this.orders = new Map();
    this.events = [];
    this.onChange();
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    const sent = await this.send('generate');
    if (sent.isErr()) return err(sent.error);
    const held = this.held.get(generation.item);
    if (held?.state !== 'ready') {
      return err(this.failure('generate', FailureKind.refused, 'the item is not loaded'));
    }
    held.running += 1;
    this.events.push({
      sequence: this.events.length + 1,
      item: generation.item,
      prefix: hash32(JSON.stringify(generation.messages)).toString(16),
      kind: 'stored',
    });
    const release = () => {
      held.running -= 1;
    };
    return ok(this.stream(generation, release, signal));
  }

  async call(call: ServiceCallRequest): Promise<Result<ServiceCallResponse, Failure>> {
    const sent = await this.send('call');
    return sent.map(() => ({ status: 200, contentType: call.contentType, body: call.body }));
  }

  async order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    if (this.faults.cut) return err(this.failure('order', FailureKind.unreachable, 'no route'));
    const gaveUp = aborted(signal).then(() =>
      err(this.failure('order', FailureKind.unknown, 'the caller gave up')),
    );
    return Promise.race([this.deliver(order), gaveUp]);
  }

  async report(): Promise<Result<EndpointReport, Failure>> {
    const sent = await this.send('report');
    if (sent.isErr()) return err(sent.error);
    this.sequence += 1;
    const { items } = this;
    const { softwareVersion } = this.options;
    const running = items.reduce((sum, item) => sum + item.running, 0);
    const report: EndpointReport = {
      endpoint: this.id,
      bootId: this.bootId,
      sequence: this.sequence,
      state: this.state,
      epoch: this.epoch,
      memoryBytes: this.options.memoryBytes,
      items,
      cached: [...this.cached].map(([item, tier]) => ({ item, tier })),
      running: Math.min(running, this.options.slots),
      waiting: Math.max(0, running - this.options.slots),
      slots: this.options.slots,
      ...(softwareVersion !== undefined && { softwareVersion }),
    };
    if (this.faults.latencyMs > 0) await this.clock.sleep(this.faults.latencyMs / 2);
    return ok(report);
  }

  async cacheEvents(after: number): Promise<Result<readonly CacheEvent[], Failure>> {
    const sent = await this.send('cacheEvents');
    return sent.map(() => this.events.filter(({ sequence }) => sequence > after));
  }

  async cancel(requestId: string, attempt: number): Promise<void> {
    this.cancelled.add(`${requestId}/${attempt}`);
  }

  private failure(call: string, kind: FailureKind, message: string): Failure {
    return { kind, step: `endpoint.${call}`, peer: this.id, message };
  }

  private async send(call: string): Promise<Result<void, Failure>> {
    if (this.faults.latencyMs > 0) await this.clock.sleep(this.faults.latencyMs / 2);
    return this.faults.cut
      ? err(this.failure(call, FailureKind.unreachable, 'no route'))
      : ok(undefined);
  }

  private async deliver(order: Order): Promise<Result<void, Failure>> {
    const { bootId } = this;
    const delay = this.faults.latencyMs / 2 + this.faults.orderDelayMs(order);
    if (delay > 0) await this.clock.sleep(delay);
    // The connection that carried the order ended with the process at its other end.
    if (bootId !== this.bootId) return this.restarted();
    const result = await this.carryOut(order);
    if (this.faults.latencyMs > 0) await this.clock.sleep(this.faults.latencyMs / 2);
    if (this.faults.cut || this.faults.losesAnswer(order)) {
      return err(this.failure('order', FailureKind.unknown, 'the answer was lost'));
    }
    return result;
  }

  private async carryOut(order: Order): Promise<Result<void, Failure>> {
    this.arrived.push(order);
    if (this.fencing && order.epoch < this.epoch) {
      return err(
        this.failure('order', FailureKind.refused, `epoch ${order.epoch} is below ${this.epoch}`),
      );
    }
    this.epoch = Math.max(this.epoch, order.epoch);
    const { bootId } = this;
    const known = this.orders.get(order.id);
    if (known !== undefined) return known;
    const work = this.perform(order, bootId);
    this.orders.set(order.id, work);
    const result = await work;
    // A refused order was not carried out, so its id may be used again.
    if (result.isErr() && bootId === this.bootId) this.orders.delete(order.id);
    return result;
  }

  private async perform(order: Order, bootId: string): Promise<Result<void, Failure>> {
    if (order.kind === OrderKind.role) return ok(undefined);
    return order.kind === OrderKind.load ? this.load(order, bootId) : this.unload(order, bootId);
  }

  private async load(order: Order, bootId: string): Promise<Result<void, Failure>> {
    if (this.held.has(order.item)) {
      return err(this.failure('order', FailureKind.refused, 'the item is already held'));
    }
    const name = parseItemKey(order.item)?.name ?? order.item;
    if (name.includes(':') && !this.holdsModel(modelOf(name))) {
      return err(this.failure('order', FailureKind.refused, 'the model is not loaded'));
    }
    const held: Held = { item: order.item, bytes: order.bytes, state: 'loading', running: 0 };
    this.held.set(order.item, held);
    this.onChange();
    const tier = this.cached.get(order.item) ?? CacheTier.remote;
    await this.clock.sleep(this.options.loadMs[tier]);
    if (bootId !== this.bootId) return this.restarted();
    held.state = 'ready';
    if (tier === CacheTier.remote) this.cached.set(order.item, CacheTier.disk);
    this.onChange();
    return ok(undefined);
  }

  private async unload(order: Order, bootId: string): Promise<Result<void, Failure>> {
    const held = this.held.get(order.item);
    if (held === undefined) return ok(undefined);
    if (held.state !== 'ready' || held.running > 0 || this.hasAdapters(order.item)) {
      return err(this.failure('order', FailureKind.refused, 'the item is in use'));
    }
    held.state = 'unloading';
    this.onChange();
    await this.clock.sleep(this.options.unloadMs);
    if (bootId !== this.bootId) return this.restarted();
    this.held.delete(order.item);
    this.cached.set(order.item, CacheTier.memory);
    this.onChange();
    return ok(undefined);
  }

  private restarted(): Result<void, Failure> {
    return err(this.failure('order', FailureKind.unknown, 'the engine restarted'));
  }

  private holdsModel(model: string): boolean {
    return [...this.held.values()].some(
      ({ item, state }) => state === 'ready' && parseItemKey(item)?.name === model,
    );
  }

  private hasAdapters(key: string): boolean {
    const name = parseItemKey(key)?.name ?? key;
    return [...this.held.keys()].some((item) => item.startsWith(`${name}:`));
  }

  private async *stream(
    { requestId, attempt, maxTokens, resume }: GenerationRequest,
    release: () => void,
    signal: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const { bootId } = this;
    const count = Math.min(maxTokens, this.options.answerTokens);
    try {
      for (let offset = resume.length; offset < count; offset += 1) {
        await this.clock.sleep(this.options.tokenMs, signal);
        if (signal.aborted || this.cancelled.has(`${requestId}/${attempt}`)) return;
        if (this.faults.cut || bootId !== this.bootId) {
          yield err(this.failure('generate', FailureKind.unknown, 'the stream broke'));
          return;
        }
        yield ok({ kind: 'tokens', requestId, attempt, offset, tokens: [`t${offset} `] });
      }
      const finishReason = count === maxTokens ? 'length' : 'stop';
      yield ok({ kind: 'end', requestId, attempt, offset: count, finishReason });
    } finally {
      release();
    }
  }
}
