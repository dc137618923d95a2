import {
  type Clock,
  describeFailure,
  type DomainView,
  type Endpoint,
  type EndpointReport,
  hadNoEffect,
  type Host,
  HostKind,
  type HostList,
  type Order,
  type Telemetry,
} from '@currantdrift/core';
import { type EngineStatus, type EngineStatuses, isNewer } from './engine-status';
import type { PlacementSettings } from './settings';

/**
 * Final result of an order. `gone`: the engine process that it was sent to has ended, or the engine
 * has left the host list. `abandoned`: the result is unknown and this process may send no more
 * orders.
 */
export type OrderOutcome = 'done' | 'refused' | 'gone' | 'abandoned';

export interface EnginesOptions {
  readonly domain: string;
  readonly clock: Clock;
  readonly hosts: HostList;
  readonly endpoint: (id: string) => Endpoint | undefined;
  readonly view: DomainView;
  readonly telemetry: Telemetry;
  readonly settings: PlacementSettings;
  /** False once this process must send no more orders. */
  readonly isActive: () => boolean;
  /** Called with each new report and the context from when it was requested. */
  readonly onReport: (report: EndpointReport, context: unknown) => void;
  /** Called when a report is requested; the result is passed to `onReport`. */
  readonly contextOf: (engine: string) => unknown;
}

/** First pause, in ms, before an order without a response is sent again with the same id. */
const firstResendMs = 500;

const lastResendMs = 5_000;

/** Consecutive host list reads without an engine after which it counts as gone. */
const missedReads = 2;

/** The engines of the domain: fetches their reports and sends them orders. */
export class Engines {
  private readonly statusById = new Map<string, EngineStatus>();

  private readonly fetching = new Map<string, Promise<EndpointReport | undefined>>();

  private readonly fetchedAt = new Map<string, number>();

  private readonly expected = new Set<string>();

  private readonly missed = new Map<string, number>();

  private readonly openOrders = new Map<string, 'pending' | 'doubtful'>();

  private hosts: readonly Host[] | undefined;

  private changes = 0;

  private calls = 0;

  private constructor(private readonly options: EnginesOptions) {}

  static create(options: EnginesOptions): Engines {
    return new Engines(options);
  }

  get statuses(): EngineStatuses {
    return this.statusById;
  }

  /** Incremented at each change of an engine's status or of the open orders. */
  get version(): number {
    return this.changes;
  }

  /** Ids of intents whose order is about to be sent, in flight or without a response. */
  get pending(): ReadonlySet<string> {
    return new Set(this.openOrders.keys());
  }

  /** Ids of intents whose order timed out or whose response was lost. */
  get doubtful(): ReadonlySet<string> {
    return new Set(
      [...this.openOrders].filter(([, state]) => state === 'doubtful').map(([id]) => id),
    );
  }

  /** Number of order calls in flight. */
  get callsInFlight(): number {
    return this.calls;
  }

  /** The platform's host list as last read; undefined before the first read. */
  get hostList(): readonly Host[] | undefined {
    return this.hosts;
  }

  /** Marks the order of an intent as about to be sent, until `sendOrder` or `release`. */
  reserve(id: string): void {
    this.changes += 1;
    this.openOrders.set(id, 'pending');
  }

  release(id: string): void {
    this.changes += 1;
    this.openOrders.delete(id);
  }

  /**
   * Adds engines named in the record, so that `readHosts` can detect that they have left the list.
   */
  expectEngines(ids: Iterable<string>): void {
    [...ids].filter((id) => !this.statusById.has(id)).forEach((id) => this.expected.add(id));
  }

  /** Reads the host list; returns the ids of engines that have left it. */
  async readHosts(): Promise<readonly string[]> {
    const read = await this.options.hosts.read();
    if (read.isErr()) {
      this.options.telemetry.log('host_list_failed', { failure: describeFailure(read.error) });
      return [];
    }
    this.hosts = read.value;
    this.changes += 1;
    const listed = read.value.filter(
      ({ kind, domain }) => kind === HostKind.engine && domain === this.options.domain,
    );
    listed.forEach(({ name, pool, fencing, state }) => {
      this.missed.delete(name);
      this.statusById.set(name, {
        id: name,
        pool,
        fencing,
        state,
        report: this.statusById.get(name)?.report,
      });
    });
    const names = new Set(listed.map(({ name }) => name));
    const candidates = new Set([...this.statusById.keys(), ...this.expected]);
    const gone = [...candidates].filter((name) => {
      if (names.has(name)) return false;
      this.missed.set(name, (this.missed.get(name) ?? 0) + 1);
      return (this.missed.get(name) ?? 0) >= missedReads;
    });
    gone.forEach((name) => {
      this.statusById.delete(name);
      this.expected.delete(name);
    });
    return gone;
  }

  /** Fetches the reports that are missing, too old, or contradicted by the watchers' states. */
  async refresh(now: number): Promise<void> {
    const stale = [...this.statusById.values()].filter((engine) => this.needsReport(engine, now));
    await Promise.all(stale.map(({ id }) => this.fetch(id)));
  }

  /** Fetches a report that is requested no earlier than this call. */
  async fetchFresh(id: string): Promise<EndpointReport | undefined> {
    await this.fetching.get(id);
    return this.fetch(id);
  }

  /**
   * Sends an order until its result is known or this process may send no more. Retries use the same
   * id, so that the order runs at most once per boot of the engine.
   */
  async sendOrder(engine: string, order: Order): Promise<OrderOutcome> {
    this.changes += 1;
    this.openOrders.set(order.id, 'pending');
    let doubtful = false;
    /** Boot seen after the last attempt without a response; no attempt reaches a later boot. */
    let boot: string | undefined;
    for (let pause = firstResendMs; ; pause = Math.min(pause * 2, lastResendMs)) {
      if (!this.options.isActive()) return doubtful ? 'abandoned' : this.end(order.id, 'refused');
      const endpoint = this.options.endpoint(engine);
      if (!this.statusById.has(engine)) return this.end(order.id, 'gone');
      if (endpoint !== undefined) {
        this.calls += 1;
        const result = await endpoint.order(
          order,
          this.timeout(this.options.settings.orderTimeoutMs),
        );
        this.calls -= 1;
        if (result.isOk()) return 'done';
        if (hadNoEffect(result.error)) {
          if (!doubtful) return this.end(order.id, 'refused');
          const seen = (await this.fetchFresh(engine))?.bootId;
          if (boot !== undefined && seen !== undefined && seen !== boot) {
            return this.end(order.id, 'gone');
          }
          boot ??= seen;
        } else {
          this.options.telemetry.log('order_in_doubt', {
            peer: engine,
            failure: describeFailure(result.error),
          });
          this.changes += 1;
          this.openOrders.set(order.id, 'doubtful');
          doubtful = true;
          boot = (await this.fetchFresh(engine))?.bootId;
        }
      } else if (!doubtful) {
        return this.end(order.id, 'refused');
      }
      await this.options.clock.sleep(pause);
    }
  }

  private end(id: string, end: OrderOutcome): OrderOutcome {
    this.changes += 1;
    this.openOrders.delete(id);
    return end;
  }

  private needsReport({ id, report }: EngineStatus, now: number): boolean {
    if (report === undefined) return true;
    const { reportMaxAgeMs } = this.options.settings;
    if (now - (this.fetchedAt.get(id) ?? 0) >= reportMaxAgeMs) return true;
    const seen = this.options.view.endpoint(id);
    if (seen === undefined || seen.sequence <= report.sequence) {
      return seen !== undefined && seen.bootId !== report.bootId;
    }
    const key = (items: readonly { item: string; state: string }[]) =>
      items
        .map(({ item, state }) => `${item}/${state}`)
        .sort()
        .join();
    return seen.bootId !== report.bootId || key(seen.items) !== key(report.items);
  }

  private fetch(id: string): Promise<EndpointReport | undefined> {
    const running = this.fetching.get(id);
    if (running !== undefined) return running;
    const fetch = this.fetchNow(id).finally(() => this.fetching.delete(id));
    this.fetching.set(id, fetch);
    return fetch;
  }

  private async fetchNow(id: string): Promise<EndpointReport | undefined> {
    const endpoint = this.options.endpoint(id);
    if (endpoint === undefined) return undefined;
    const context = this.options.contextOf(id);
    this.fetchedAt.set(id, this.options.clock.now());
    const result = await endpoint.report(this.timeout(this.options.settings.reportTimeoutMs));
    const known = this.statusById.get(id);
    if (result.isErr() || known === undefined || !isNewer(known.report, result.value)) {
      return undefined;
    }
    this.changes += 1;
    this.statusById.set(id, { ...known, state: result.value.state, report: result.value });
    this.options.onReport(result.value, context);
    return result.value;
  }

  private timeout(ms: number): AbortSignal {
    const controller = new AbortController();
    this.options.clock
      .sleep(ms)
      .then(() => controller.abort())
      .catch(() => {});
    return controller.signal;
  }
}
