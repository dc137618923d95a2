import type { LoadedModel } from '@currantdrift/fleet';
import type { Model } from '@currantdrift/routes';
import {
  type Eviction,
  freeMemoryMb,
  modelMemoryMb,
  selectVictims,
  type Victim,
} from './engine-memory';
import { type EngineView, loadSource } from './engine-view';
import { neededModels, type NeededModel } from './needed-models';
import { fleetIndex, loadTimeMs, type PlanInput } from './plan-input';
import { effectiveReplicas, enginesForLoads, replicaWeight } from './request-limits';
import { drainTimeMs, idleAfterMs, meanRunMs } from './run-time';
import { targetReplicas } from './target-replicas';

const plannerCache = new WeakMap<PlanInput, EvictionPlanner>();

/** A loaded model as a candidate for an unload. */
export interface HeldModel {
  readonly name: string;
  readonly sizeMb: number;
  /** Whether requests wait for it. */
  readonly isAwaited: boolean;
  /** Cost of unloading it without a drain, in ms; undefined if it is awaited or in use. */
  readonly costMs: number | undefined;
  /** Time for which it is kept after its load, in ms from now; 0 or less if that has passed. */
  readonly minKeepMs: number;
  /** Expected time until its running requests have ended if it gets no further ones, in ms. */
  readonly drainMs: number;
  /** Expected time until it is idle if it still gets requests, in ms. */
  readonly idleMs: number;
}

/** Free memory of an engine and the models that it holds. */
export interface EngineContents {
  readonly freeMb: number;
  readonly held: readonly HeldModel[];
}

/**
 * Selects models to unload. The cost of an eviction is the waiting time that is expected from loading
 * the model again, in ms. A model that requests wait for is never evicted, even right after its load:
 * otherwise two models that compete for the same memory would evict each other before either is used.
 *
 * While more models are needed than engines can load, a model is also kept for a minimum time after its
 * load, so that refused requests find it when they return.
 */
export class EvictionPlanner {
  /** The models that have to be loaded, in the order in which they are served. */
  readonly needs: readonly NeededModel[];

  /** Mean time that a request runs at an engine, in ms. */
  readonly runMs: number;

  private readonly awaitedModels: ReadonlySet<string>;

  private readonly contents = new Map<EngineView, EngineContents>();

  private contended: boolean | undefined;

  private constructor(
    private readonly input: PlanInput,
    private readonly now: number,
  ) {
    const waiting = input.demand.current(now).filter(({ refused }) => !refused);
    this.awaitedModels = new Set(waiting.map(({ model }) => model));
    this.needs = neededModels(input, now);
    this.runMs = this.needs.length === 0 ? input.settings.expectedRunMs : meanRunMs(input, now);
  }

  /** The cached planner of an input, which must not change afterwards. */
  static of(input: PlanInput, now: number): EvictionPlanner {
    const found = plannerCache.get(input);
    if (found !== undefined) return found;
    const planner = new EvictionPlanner(input, now);
    plannerCache.set(input, planner);
    return planner;
  }

  /** Whether several models are needed, and more than engines could load now. */
  get isContended(): boolean {
    this.contended ??= this.needs.length > 1 && this.needs.length > this.countFreeEngines();
    return this.contended;
  }

  /** Selects models to unload to make room for `model` among idle models and surplus replicas. */
  planEviction(engine: EngineView, { sizeMb }: Model): Eviction | undefined {
    const { freeMb, held } = this.contentsOf(engine);
    const victims = held.flatMap((one): Victim[] => {
      if (one.costMs === undefined || (this.isContended && one.minKeepMs > 0)) return [];
      return [{ ...one, costMs: one.costMs, drainMs: this.isContended ? one.drainMs : 0 }];
    });
    return selectVictims(victims, sizeMb - freeMb);
  }

  /** Cached for each engine, because a plan considers many models per engine. */
  contentsOf(engine: EngineView): EngineContents {
    const found = this.contents.get(engine);
    if (found !== undefined) return found;
    const held = engine.models
      .map((one) => this.assess(engine, one))
      .sort((one, other) => (one.costMs ?? Infinity) - (other.costMs ?? Infinity) || 0);
    const contents = { freeMb: freeMemoryMb(engine, this.input.pool), held };
    this.contents.set(engine, contents);
    return contents;
  }

  /** Number of engines that could load the smallest needed model now. */
  private countFreeEngines(): number {
    const neededMb = Math.min(...this.needs.map(({ model }) => model.sizeMb));
    const engines = [...enginesForLoads(this.input)];
    return engines.filter((engine) => {
      if (engine.operation !== undefined) return false;
      const { freeMb, held } = this.contentsOf(engine);
      const evictableMb = held.reduce(
        (sum, { costMs, sizeMb }) => sum + (costMs === undefined ? 0 : sizeMb),
        0,
      );
      return freeMb + evictableMb >= neededMb;
    }).length;
  }

  private assess(engine: EngineView, held: LoadedModel): HeldModel {
    const { pool, demand, service, settings } = this.input;
    const { name } = held;
    const reloadMs = this.reloadMs(engine, name);
    const drainMs = drainTimeMs(engine.inFlight.get(name) ?? 0, this.runMs);
    const rate = demand.rate(service, name, this.now);
    const keptUntil = (engine.loadedAt.get(name) ?? -Infinity) + reloadMs * settings.minKeepRatio;
    const replicas = Math.max(1, fleetIndex(this.input).replicas(name).length);
    return {
      name,
      sizeMb: modelMemoryMb(held, pool),
      isAwaited: this.awaitedModels.has(name),
      costMs: this.evictionCostMs(engine, name),
      minKeepMs: keptUntil - this.now,
      drainMs,
      idleMs: idleAfterMs(drainMs, rate / replicas, this.runMs),
    };
  }

  private evictionCostMs(engine: EngineView, name: string): number | undefined {
    if (this.awaitedModels.has(name)) return undefined;
    const { settings, demand, service } = this.input;
    const rate = demand.rate(service, name, this.now);
    const others = effectiveReplicas(this.input, name) - replicaWeight(this.input, engine);
    const isSurplus = others >= targetReplicas(this.input, name, this.now);
    // Running requests finish before the unload, and new requests go to the other replicas.
    if (isSurplus) return rate + (this.isInUse(engine, name) ? settings.expectedRunMs : 0);
    return this.isInUse(engine, name) ? undefined : this.reloadCostMs(engine, name);
  }

  /** Waiting time that is expected from loading the model again, in ms. */
  private reloadCostMs(engine: EngineView, name: string): number {
    const { pool, settings, demand, service } = this.input;
    if (!pool.models.has(name)) return 0;
    const rate = demand.rate(service, name, this.now);
    return rate * (settings.evictionHorizonMs / 1000) * this.reloadMs(engine, name) + 1;
  }

  /** Time that the engine would take to load the model again, in ms. */
  private reloadMs(engine: EngineView, name: string): number {
    const model = this.input.pool.models.get(name);
    return model === undefined ? 0 : loadTimeMs(model, loadSource(engine, name));
  }

  private isInUse(engine: EngineView, name: string): boolean {
    return (engine.inFlight.get(name) ?? 0) > 0;
  }
}
