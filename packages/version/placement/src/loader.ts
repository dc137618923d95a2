import { CacheTier, OrderKind, type WakeRefusal } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { claimsFor, routableClaims } from './accounting';
import type { Budget } from './budget';
import type { CatalogueItem } from './catalogue';
import { type Placement, placementsFor } from './placement-choice';
import type { Domain } from './domain';
import { type Intent, itemNameOf } from './intent';
import { LoadJob } from './load-job';
import { withAnswer, withoutIntents } from './record-updates';
import type { Unloader } from './unloader';

/** Rounds of placement, eviction and loading before a wake-up fails. */
const maxRounds = 8;

/** Pause, in ms, before a wake-up that cannot proceed is tried again. */
const pauseMs = 500;

/** Estimated time, in ms, of an unload after its drain. */
const unloadMs = 1_000;

/** Retry time, in ms, for a request that found no memory or allotment. */
const noRoomRetryMs = 5_000;

type Step = Result<Placement, WakeRefusal>;

const refusal = (
  kind: WakeRefusal['kind'],
  message: string,
  retryAfterMs: number,
): WakeRefusal => ({
  kind,
  message,
  retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)),
});

/** Loads items; concurrent wake-ups of one item share a load. */
export class Loader {
  private readonly jobs = new Map<string, LoadJob>();

  private constructor(
    private readonly domain: Domain,
    private readonly unloader: Unloader,
  ) {}

  static create(domain: Domain, unloader: Unloader): Loader {
    return new Loader(domain, unloader);
  }

  isLoading(item: string): boolean {
    return this.jobs.has(item);
  }

  /** Implements `Waker.wake`: resolves with an engine that has the item ready. */
  async wake(listed: CatalogueItem, deadline: number): Promise<Result<string, WakeRefusal>> {
    const [ready] = this.readyEngines(listed.key);
    return ready === undefined ? this.start(listed).join(deadline) : ok(ready);
  }

  /** Preloads an item unless it has a routable replica or is being loaded. */
  warm(listed: CatalogueItem): void {
    if (this.domain.routable(listed.key).length === 0) this.start(listed);
  }

  /** Loads one more replica. */
  add(listed: CatalogueItem): void {
    this.start(listed);
  }

  /** Refuses all waiting wake-ups; their loads continue or are left to the next holder. */
  close(): void {
    this.jobs.forEach((job) =>
      job.finish(err(refusal('no_controller', 'the domain is changing its controller', 1_000))),
    );
    this.jobs.clear();
  }

  private readyEngines(item: string): string[] {
    const ready = this.domain.routable(item).map(({ engine }) => engine);
    if (ready.length > 0) {
      const level = (engine: string) => this.domain.parts.view.endpoint(engine)?.level ?? 0;
      return ready.sort((a, b) => level(a) - level(b));
    }
    return routableClaims(this.domain.claims(), item)
      .filter(({ engine }) => this.domain.isLive(engine))
      .filter(({ engine }) => this.domain.parts.drains.cancel(engine, item))
      .map(({ engine }) => engine);
  }

  private start(listed: CatalogueItem): LoadJob {
    const known = this.jobs.get(listed.key);
    if (known !== undefined) return known;
    const job = LoadJob.create(this.domain.parts.clock);
    this.jobs.set(listed.key, job);
    // Deferred, so that the caller can join before the first step reads the deadlines.
    Promise.resolve()
      .then(() => this.run(listed, job))
      .then((result) => job.finish(result))
      .catch((error: unknown) => {
        this.domain.parts.telemetry.log('wake_failed', { item: listed.key, error: String(error) });
        job.finish(err(refusal('failed', 'the load failed', noRoomRetryMs)));
      })
      .finally(() => {
        if (this.jobs.get(listed.key) === job) this.jobs.delete(listed.key);
      });
    return job;
  }

  private async run(listed: CatalogueItem, job: LoadJob): Promise<Result<string, WakeRefusal>> {
    const { clock, telemetry } = this.domain.parts;
    const avoided = new Set<string>();
    const before = this.domain.routable(listed.key).map(({ engine }) => engine);
    for (let round = 0; round < maxRounds && this.domain.isActive; round += 1) {
      const added = this.domain.routable(listed.key).find(({ engine }) => !before.includes(engine));
      if (added !== undefined) return ok(added.engine);
      const step = await this.prepare(listed, job, avoided);
      if (step.isErr()) return err(step.error);
      const placement = step.value;
      if (placement === undefined) continue;
      const intent = await this.domain.reserve(listed, placement);
      if (typeof intent === 'string') {
        if (intent === 'outage') avoided.add(placement.engine);
        await clock.sleep(pauseMs);
        continue;
      }
      if (await this.load(listed, placement, intent, job)) return ok(placement.engine);
      telemetry.log('load_not_done', { peer: placement.engine, item: listed.key });
      avoided.add(placement.engine);
    }
    return err(refusal('failed', `${listed.name} could not be loaded`, noRoomRetryMs));
  }

  /**
   * One round: ensures that the model is loaded and that there is an allotment and memory. Resolves
   * with undefined if the state has changed and the next round must start over.
   */
  private async prepare(
    listed: CatalogueItem,
    job: LoadJob,
    avoided: ReadonlySet<string>,
  ): Promise<Result<Placement | undefined, WakeRefusal>> {
    const { clock } = this.domain.parts;
    const current = this.domain.catalogue?.find(listed.key);
    const allotted = this.domain.allotted(listed.name);
    if (current === undefined || allotted === 0) {
      return err(
        refusal('no_allotment', `${listed.name} has no allotment in this domain`, noRoomRetryMs),
      );
    }
    if (listed.model !== undefined && this.readyEngines(listed.model).length === 0) {
      const model = this.domain.catalogue?.find(listed.model);
      if (model === undefined)
        return err(
          refusal(
            'no_allotment',
            'the accepted bundle has no model for the adapter',
            noRoomRetryMs,
          ),
        );
      const woken = await this.start(model).join(job.latestDeadline);
      if (woken.isErr()) return err(woken.error);
    }
    if (this.replicas(listed.name) >= allotted) return this.freeAllotment(listed, job);
    const placed = this.choose(listed, avoided);
    if (placed.isErr()) return err(placed.error);
    const placement = placed.value;
    const readyAt = clock.now() + placement.estimateMs;
    if (placement.evictions.length > 0 && !this.isWarranted(listed, placement, job, readyAt)) {
      return err(
        refusal(
          job.isRequested ? 'too_late' : 'no_memory',
          `no engine has free memory for ${listed.name}, and the loaded items are worth more`,
          noRoomRetryMs,
        ),
      );
    }
    job.setExpectedReadyAt(readyAt);
    if (placement.evictions.length === 0) return ok(placement);
    await Promise.all(
      placement.evictions.map(({ engine, item }) =>
        this.unloader.drainAndUnload(engine, item, false),
      ),
    );
    return ok(undefined);
  }

  /**
   * Tells whether a load may evict other items: a waiting request can still be served by it, or the
   * item was requested and is worth at least as much as the evicted items. A preload may only use
   * free memory; otherwise two items could evict each other in turn.
   */
  private isWarranted(
    listed: CatalogueItem,
    { evictions }: Placement,
    job: LoadJob,
    readyAt: number,
  ): boolean {
    const { keepWarm, clock } = this.domain.parts;
    if (job.isWanted(readyAt)) return true;
    const value = (name: string) => keepWarm.value(name, clock.now());
    const lost = evictions.reduce((sum, { item }) => sum + value(itemNameOf(item)), 0);
    return job.isRequested && value(listed.name) >= lost;
  }

  /** Number of replicas, not counting standing intents, which a load can replace. */
  private replicas(name: string): number {
    const standing = claimsFor(this.domain.claims(), name).filter(
      (claim) =>
        claim.reported === undefined &&
        claim.intents.every(
          ({ kind, epoch }) => kind === 'standing' && epoch === this.domain.record.epoch,
        ),
    );
    return this.domain.count(name) - standing.length;
  }

  /** Unloads a replica of another version or on a leaving engine, or waits for a load or unload. */
  private async freeAllotment(
    listed: CatalogueItem,
    job: LoadJob,
  ): Promise<Result<undefined, WakeRefusal>> {
    const { clock, engines, settings } = this.domain.parts;
    const claims = claimsFor(this.domain.claims(), listed.name);
    const other = claims.find(
      ({ engine, item }) => item !== listed.key || !this.domain.isLive(engine),
    );
    if (other !== undefined && other.reported !== undefined) {
      const load = this.domain.parts.speed.estimate(listed.bytes, CacheTier.remote);
      job.setExpectedReadyAt(clock.now() + settings.drainMs + unloadMs + load);
      await this.unloader.drainAndUnload(other.engine, other.item, false);
      return ok(undefined);
    }
    const moving = claims.filter(
      ({ engine, item, reported }) =>
        reported?.state === 'loading' || this.unloader.isUnloading(engine, item),
    );
    if (moving.length === 0 || !job.isWanted(clock.now())) {
      return err(
        refusal('no_allotment', `all replicas of ${listed.name} are in use or in doubt`, 2_000),
      );
    }
    await clock.sleep(pauseMs);
    await Promise.all(moving.map(({ engine }) => engines.fetchFresh(engine)));
    return ok(undefined);
  }

  private choose(listed: CatalogueItem, avoided: ReadonlySet<string>): Step {
    const { view, keepWarm, speed, drains, settings, clock, loads, transits } = this.domain.parts;
    const now = clock.now();
    const remoteMs = speed.estimate(listed.bytes, CacheTier.remote);
    const budget = listed.model === undefined ? loads : transits;
    const [best] = placementsFor(
      {
        item: listed.key,
        bytes: listed.bytes,
        pool: listed.pool,
        ...(listed.model === undefined ? {} : { model: listed.model }),
      },
      {
        account: this.domain.account(),
        claims: this.domain.claims(),
        draining: drains.pairs,
        avoided,
        level: (engine) => view.endpoint(engine)?.level ?? 0,
        isLimited: (engine) => view.endpoint(engine)?.requestLimitPerS !== undefined,
        value: (name) => keepWarm.value(name, now),
        loadMs: (bytes, tier) => speed.estimate(bytes, tier),
        queueMs: (tier) => (tier === CacheTier.remote ? budget.waitMs(remoteMs) : 0),
        evictMs: settings.drainMs + unloadMs,
        permits: (engine, item) => this.domain.permitsLoad(engine, item),
      },
    );
    return best === undefined
      ? err(refusal('no_memory', `no engine can hold ${listed.name}`, noRoomRetryMs))
      : ok(best);
  }

  /** Sends the load order of a reserved intent; true once the item is ready. */
  private async load(
    listed: CatalogueItem,
    placement: Placement,
    intent: Intent,
    job: LoadJob,
  ): Promise<boolean> {
    const { clock, engines, loads, transits, speed } = this.domain.parts;
    const budget = this.budgetOf(listed, placement, loads, transits);
    const release = await budget?.acquire(job.earliestDeadline);
    const { estimateMs } = placement;
    const start = clock.now();
    job.setExpectedReadyAt(
      start + Math.min(estimateMs, speed.estimate(listed.bytes, placement.tier)),
    );
    if (!this.isCurrent(intent)) {
      release?.();
      await this.domain.removeIntent(intent.id);
      return false;
    }
    const end = await engines.sendOrder(intent.engine, {
      id: intent.id,
      epoch: intent.epoch,
      kind: OrderKind.load,
      item: listed.key,
      bytes: listed.bytes,
    });
    release?.();
    if (end === 'abandoned') return false;
    if (end !== 'done') {
      await this.domain.removeIntent(intent.id);
      return false;
    }
    speed.addSample(listed.bytes, placement.tier, clock.now() - start);
    const report = await engines.fetchFresh(intent.engine);
    this.settle(intent, report?.bootId).catch(() => {});
    return true;
  }

  /** Records that a load is done, once a report shows the engine's boot. */
  private async settle(intent: Intent, bootId: string | undefined): Promise<void> {
    const { engines, recordWriter, clock } = this.domain.parts;
    let boot = bootId;
    while (boot === undefined && this.domain.isActive && engines.statuses.has(intent.engine)) {
      await clock.sleep(pauseMs);
      boot = (await engines.fetchFresh(intent.engine))?.bootId;
    }
    if (!this.domain.isActive) return;
    await recordWriter.commit({
      apply: (record) =>
        boot === undefined
          ? withoutIntents(record, new Set([intent.id]))
          : withAnswer(record, intent.id, boot),
    });
    engines.release(intent.id);
  }

  private budgetOf(
    listed: CatalogueItem,
    { tier }: Placement,
    loads: Budget,
    transits: Budget,
  ): Budget | undefined {
    if (tier !== CacheTier.remote) return undefined;
    return listed.model === undefined ? loads : transits;
  }

  /** Tells whether the engine has not restarted and the intent is still in the record. */
  private isCurrent(intent: Intent): boolean {
    if (!this.domain.isActive) return false;
    const report = this.domain.parts.engines.statuses.get(intent.engine)?.report;
    return (
      report?.bootId === intent.bootId &&
      this.domain.record.intents.some(({ id }) => id === intent.id)
    );
  }
}
