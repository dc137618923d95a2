import type { HeldModel } from '@currantdrift/fleet';
import type { Model } from '@currantdrift/routes';
import { type EngineView, sourceOf } from './engine-view';
import { type Eviction, makeRoom } from './room';
import { fleetOf, loadTime, type Situation } from './situation';
import { targetReplicas } from './target-replicas';

const known = new WeakMap<Situation, Evictions>();

/**
 * Which models may be unloaded and what that costs, in ms of waiting that is expected until a model
 * would be used again. A model that requests wait for stays, also just after its load: otherwise two
 * models that wait for one place would displace each other before either is used.
 */
export class Evictions {
  private readonly awaited: ReadonlySet<string>;

  private constructor(
    private readonly situation: Situation,
    private readonly now: number,
  ) {
    const waiting = situation.demand.current(now).filter(({ refused }) => !refused);
    this.awaited = new Set(waiting.map(({ model }) => model));
  }

  /** The evictions of a situation, which must not change afterwards. */
  static of(situation: Situation, now: number): Evictions {
    const found = known.get(situation);
    if (found !== undefined) return found;
    const evictions = new Evictions(situation, now);
    known.set(situation, evictions);
    return evictions;
  }

  /** Room for a model among models that are not in use or have replicas to spare. */
  idle(engine: EngineView, { sizeMb }: Model): Eviction | undefined {
    return makeRoom(engine, this.situation.pool, sizeMb, (held) => this.idleCost(engine, held));
  }

  /**
   * Room for a model among all models that nobody waits for. Answers the load pattern "the engines with
   * a copy always have runs of all their models": those in use get no new requests and are unloaded when
   * their runs have ended.
   */
  draining(engine: EngineView, { sizeMb }: Model): Eviction | undefined {
    return makeRoom(
      engine,
      this.situation.pool,
      sizeMb,
      (held) => this.idleCost(engine, held) ?? this.drainCost(engine, held),
    );
  }

  /**
   * Time until an engine is expected to have room for a model, in ms; undefined if only models have to
   * go whose loss costs more than a load from the weight store elsewhere.
   */
  roomIn(engine: EngineView, model: Model): number | undefined {
    const { runEndMs, drainAfterMs, awaitedMs } = this.situation.settings;
    if (this.idle(engine, model) !== undefined) return 0;
    const draining = this.draining(engine, model);
    if (draining === undefined) return awaitedMs;
    return draining.costMs < model.remoteLoadMs ? drainAfterMs + runEndMs : undefined;
  }

  private idleCost(engine: EngineView, held: HeldModel): number | undefined {
    const { name } = held;
    if (this.awaited.has(name)) return undefined;
    const { settings, demand, service } = this.situation;
    const rate = demand.rate(service, name, this.now);
    const replicas = fleetOf(this.situation).replicas(name).length;
    const isSurplus = replicas > targetReplicas(this.situation, name, this.now);
    if (isSurplus) return rate + (this.isUsed(engine, name) ? settings.runEndMs : 0);
    return this.isUsed(engine, name) ? undefined : this.reloadCost(engine, name);
  }

  private drainCost(engine: EngineView, { name }: HeldModel): number | undefined {
    if (this.awaited.has(name)) return undefined;
    return this.situation.settings.runEndMs + this.reloadCost(engine, name);
  }

  /** Waiting that is expected because the model has to be loaded again. */
  private reloadCost(engine: EngineView, name: string): number {
    const { pool, settings, demand, service } = this.situation;
    const model = pool.models.get(name);
    if (model === undefined) return 0;
    const reloadMs = loadTime(model, sourceOf(engine, name));
    const rate = demand.rate(service, name, this.now);
    return rate * (settings.evictionHorizonMs / 1000) * reloadMs + 1;
  }

  private isUsed(engine: EngineView, name: string): boolean {
    return (engine.inFlight.get(name) ?? 0) > 0;
  }
}
