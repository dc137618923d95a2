import {
  type Clock,
  type Endpoint,
  type EndpointConnector,
  type EndpointReport,
  type Failure,
  type Host,
  HostState,
  type Random,
} from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import { baseFact, cachedFact, itemsFact, reachableIndex } from './endpoint-facts';
import { type Fact, FactPrefix, type Rank } from './fact';
import { loadOf, nextLevel } from './load-level';

/** Callbacks through which a watcher publishes state and reads published facts. */
export interface WatcherOutput {
  fact(key: string): Fact | undefined;
  publish(fact: Fact, atOnce: boolean): void;
  level(endpoint: string, level: number): void;
  report(host: Host, report: EndpointReport): void;
}

export interface EndpointWatcherOptions {
  readonly host: Host;
  readonly connector: EndpointConnector;
  readonly clock: Clock;
  readonly random: Random;
  readonly output: WatcherOutput;
  /** Hash of this daemon's name. */
  readonly watcher: number;
}

/** Time between two polls, in ms; randomized by up to 5% either way. */
const pollMs = 1000;

/** Part of an endpoint's request limit that polls may use, and the longest time between two, in ms. */
const pollShare = 0.1;
const maxPollMs = 10_000;

const msPerSecond = 1_000;

/** Timeout of a report, in ms. */
const reportTimeoutMs = 800;

/** Consecutive failed polls after which an endpoint is published as unreachable. */
const maxMisses = 3;

/** Minimum time between two publications of the cached checkpoints, in ms. */
const cachedIntervalMs = 10_000;

/** Requests a report from an endpoint; fails with kind `unknown` after `timeoutMs`. */
export const requestReport = async (
  endpoint: Endpoint,
  clock: Clock,
  timeoutMs = reportTimeoutMs,
): Promise<Result<EndpointReport, Failure>> => {
  const timeout = new AbortController();
  const answered = new AbortController();
  const timedOut = clock
    .sleep(timeoutMs, answered.signal)
    .then((): Result<EndpointReport, Failure> => {
      if (!answered.signal.aborted) timeout.abort();
      const message = `no report in ${timeoutMs} ms`;
      return err({ kind: 'unknown', step: 'endpoint.report', peer: endpoint.id, message });
    });
  const result = await Promise.race([endpoint.report(timeout.signal), timedOut]);
  answered.abort(null);
  return result;
};

const sameValue = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** The value of a base fact without the sequence number, which changes with each report. */
const withoutSequence = (value: unknown): unknown =>
  Array.isArray(value) ? [...(value as unknown[]).slice(0, 7), ...value.slice(8)] : value;

const withoutHeader = (value: unknown): unknown =>
  Array.isArray(value) ? [value[0], value[2]] : value;

/** Polls one endpoint and publishes changes of its state. `run` is the polling loop. */
export class EndpointWatcher {
  private host: Host;

  private endpoint: Endpoint;

  private last: EndpointReport | undefined;

  private misses = 0;

  private reachable = true;

  private sequence = 0;

  private level: number | undefined;

  private cachedAt = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly options: EndpointWatcherOptions,
    /** Higher than the incarnations of all known earlier watchers of the endpoint. */
    private incarnation: number,
  ) {
    this.host = options.host;
    this.endpoint = options.connector.connect(options.host);
  }

  static create(options: EndpointWatcherOptions): EndpointWatcher {
    const { name } = options.host;
    const keys = [FactPrefix.endpoint, FactPrefix.items, FactPrefix.cached];
    const known = keys.map((prefix) => options.output.fact(`${prefix}${name}`)?.rank[0] ?? 0);
    return new EndpointWatcher(options, Math.max(...known) + 1);
  }

  /** Applies the endpoint's current entry in the host list. */
  update(host: Host): void {
    const isMoved = host.address !== this.host.address;
    const isReplaced = host.incarnation !== this.host.incarnation;
    const isLeaving = host.state !== this.host.state;
    this.host = host;
    if (isMoved || isReplaced) {
      this.endpoint = this.options.connector.connect(host);
      this.last = undefined;
      this.misses = 0;
    }
    if (isLeaving) this.markLeaving();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    this.markLeaving();
    await clock.sleep(random.next() * pollMs, signal);
    while (!signal.aborted) {
      const startedAt = clock.now();
      await this.poll(signal);
      const interval = this.pollMs() * (0.95 + random.next() / 10);
      await clock.sleep(Math.max(0, startedAt + interval - clock.now()), signal);
    }
  }

  /** Time between two polls; longer if the endpoint limits its requests. */
  private pollMs(): number {
    const { requestLimitPerS } = this.last ?? {};
    if (requestLimitPerS === undefined) return pollMs;
    const limitedMs = msPerSecond / (requestLimitPerS * pollShare);
    return Math.min(maxPollMs, Math.max(pollMs, limitedMs));
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const { clock, connector } = this.options;
    const { host } = this;
    let result = await requestReport(this.endpoint, clock);
    if (result.isErr()) this.misses += 1;
    if (result.isErr() && this.misses >= maxMisses && !signal.aborted) {
      // The open connection may be dead while a new one works.
      this.endpoint = connector.connect(host);
      result = await requestReport(this.endpoint, clock);
    }
    const isSame = host.incarnation === this.host.incarnation && host.address === this.host.address;
    if (signal.aborted || !isSame) return;
    if (result.isOk()) this.applyReport(result.value, clock.now());
    else if (this.misses >= maxMisses) this.markUnreachable();
  }

  private applyReport(report: EndpointReport, now: number): void {
    const { last } = this;
    this.misses = 0;
    this.reachable = true;
    // Reports that arrive on two connections can be out of order.
    if (last?.bootId === report.bootId && report.sequence < last.sequence) return;
    this.last = report;
    this.options.output.report(this.host, report);
    if (report.state === HostState.leaving) this.markLeaving();
    this.publishChanges(report, now);
    this.level = nextLevel(this.level, loadOf(report));
    this.options.output.level(this.host.name, this.level);
  }

  private markUnreachable(): void {
    this.reachable = false;
    if (this.last !== undefined) this.publishBase(this.last);
    else this.republishUnreachable();
  }

  /** Without a report of its own, publishes the previous watcher's state as unreachable. */
  private republishUnreachable(): void {
    const known = this.options.output.fact(`${FactPrefix.endpoint}${this.host.name}`);
    if (!Array.isArray(known?.value)) return;
    if (known.value[reachableIndex] === false) return;
    const value: unknown[] = (known.value as unknown[]).with(reachableIndex, false);
    this.outrank(known);
    this.options.output.publish({ ...known, rank: this.nextRank(), value }, false);
  }

  /** Publishes a leaving mark for the host's incarnation; reports of it can't override the mark. */
  private markLeaving(): void {
    if (this.host.state !== HostState.leaving && this.last?.state !== HostState.leaving) return;
    const key = `${FactPrefix.leaving}${this.host.name}`;
    this.options.output.publish({ key, rank: [this.host.incarnation], value: true }, true);
  }

  private publishChanges(report: EndpointReport, now: number): void {
    this.publishBase(report);
    this.publishIfChanged(itemsFact(this.host, report, this.nextRank()), withoutHeader);
    if (now - this.cachedAt < cachedIntervalMs) return;
    this.cachedAt = now;
    this.publishIfChanged(cachedFact(this.host, report, this.nextRank()), withoutHeader);
  }

  private publishBase(report: EndpointReport): void {
    const fact = baseFact(this.host, report, this.reachable, this.nextRank());
    this.publishIfChanged(fact, withoutSequence);
  }

  private publishIfChanged(fact: Fact, compared: (value: unknown) => unknown): void {
    const { output, watcher } = this.options;
    const known = output.fact(fact.key);
    const isOwn = known?.rank[2] === watcher && known.rank[0] === this.incarnation;
    if (isOwn && sameValue(compared(known.value), compared(fact.value))) return;
    this.outrank(known);
    output.publish({ ...fact, rank: this.nextRank() }, false);
  }

  /** Raises the incarnation above that of a fact from another watcher; this one is assigned now. */
  private outrank(known: Fact | undefined): void {
    const [incarnation = 0, , watcher] = known?.rank ?? [];
    if (watcher === this.options.watcher || incarnation < this.incarnation) return;
    this.incarnation = incarnation + 1;
    this.sequence = 0;
  }

  private nextRank(): Rank {
    this.sequence += 1;
    return [this.incarnation, this.sequence, this.options.watcher];
  }
}
