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
import { loadTimeMs, type PlanInput } from './plan-input';
import { effectiveReplicas, replicaWeight } from './request-limits';
import { targetReplicas } from './target-replicas';

const plannerCache = new WeakMap<PlanInput, EvictionPlanner>();

/** Free memory of an engine and the models that it may unload, the cheapest first. */
interface EvictionCandidates {
  readonly freeMb: number;
  readonly victims: readonly Victim[];
}

/**
 * Selects models to unload. The cost of an eviction is the waiting time that is expected from loading
 * the model again, in ms. A model that requests wait for is never evicted, even right after its load:
 * otherwise two models that compete for the same memory would evict each other before either is used.
 */
export class EvictionPlanner {
  private readonly awaitedModels: ReadonlySet<string>;

  private readonly choices = new Map<EngineView, EvictionCandidates>();

  private constructor(
    private readonly input: PlanInput,
    private readonly now: number,
  ) {
    const waiting = input.demand.current(now).filter(({ refused }) => !refused);
    this.awaitedModels = new Set(waiting.map(({ model }) => model));
  }

  /** The cached planner of an input, which must not change afterwards. */
  static of(input: PlanInput, now: number): EvictionPlanner {
    const found = plannerCache.get(input);
    if (found !== undefined) return found;
    const planner = new EvictionPlanner(input, now);
    plannerCache.set(input, planner);
    return planner;
  }

  /** Selects models to unload to make room for `model` among idle models and surplus replicas. */
  planEviction(engine: EngineView, { sizeMb }: Model): Eviction | undefined {
    const { victims, freeMb } = this.candidatesAt(engine);
    return selectVictims(victims, sizeMb - freeMb);
  }

  /** Cached for each engine, because a plan considers many models per engine. */
  private candidatesAt(engine: EngineView): EvictionCandidates {
    const found = this.choices.get(engine);
    if (found !== undefined) return found;
    const { pool } = this.input;
    const victims = engine.models
      .flatMap((held): Victim[] => {
        const costMs = this.evictionCostMs(engine, held);
        const { name } = held;
        return costMs === undefined ? [] : [{ name, sizeMb: modelMemoryMb(held, pool), costMs }];
      })
      .sort((one, other) => one.costMs - other.costMs);
    const candidates = { freeMb: freeMemoryMb(engine, pool), victims };
    this.choices.set(engine, candidates);
    return candidates;
  }

  private evictionCostMs(engine: EngineView, held: LoadedModel): number | undefined {
    const { name } = held;
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
    const model = pool.models.get(name);
    if (model === undefined) return 0;
    const reloadMs = loadTimeMs(model, loadSource(engine, name));
    const rate = demand.rate(service, name, this.now);
    return rate * (settings.evictionHorizonMs / 1000) * reloadMs + 1;
  }

  private isInUse(engine: EngineView, name: string): boolean {
    return (engine.inFlight.get(name) ?? 0) > 0;
  }
}
