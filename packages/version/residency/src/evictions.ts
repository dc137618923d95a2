import type { LoadedModel } from '@currantdrift/fleet';
import type { Model } from '@currantdrift/routes';
import { type EngineView, sourceOf } from './engine-view';
import { type Eviction, freeMemory, makeRoom, memoryOf, type Victim } from './room';
import { fleetOf, loadTime, type PlanInput } from './situation';
import { targetReplicas } from './target-replicas';

const known = new WeakMap<PlanInput, Evictions>();

/** What an engine could unload, the cheapest first. */
interface Choice {
  readonly freeMb: number;
  readonly victims: readonly Victim[];
}

/**
 * Which models may be unloaded and what that costs, in ms of waiting that is expected until a model
 * would be used again. A model that requests wait for stays, also just after its load: otherwise two
 * models that wait for one place would displace each other before either is used.
 */
export class Evictions {
  private readonly awaited: ReadonlySet<string>;

  private readonly choices = new Map<EngineView, Choice>();

  private constructor(
    private readonly situation: PlanInput,
    private readonly now: number,
  ) {
    const waiting = situation.demand.current(now).filter(({ refused }) => !refused);
    this.awaited = new Set(waiting.map(({ model }) => model));
  }

  /** The evictions of a situation, which must not change afterwards. */
  static of(situation: PlanInput, now: number): Evictions {
    const found = known.get(situation);
    if (found !== undefined) return found;
    const evictions = new Evictions(situation, now);
    known.set(situation, evictions);
    return evictions;
  }

  /** Room for a model among models that are not in use or have replicas to spare. */
  room(engine: EngineView, { sizeMb }: Model): Eviction | undefined {
    const { victims, freeMb } = this.choiceAt(engine);
    return makeRoom(victims, sizeMb - freeMb);
  }

  /** Made once for each engine: a plan looks for room for many models. */
  private choiceAt(engine: EngineView): Choice {
    const found = this.choices.get(engine);
    if (found !== undefined) return found;
    const { pool } = this.situation;
    const victims = engine.models
      .flatMap((held): Victim[] => {
        const costMs = this.cost(engine, held);
        const { name } = held;
        return costMs === undefined ? [] : [{ name, sizeMb: memoryOf(held, pool), costMs }];
      })
      .sort((one, other) => one.costMs - other.costMs);
    const choice = { freeMb: freeMemory(engine, pool), victims };
    this.choices.set(engine, choice);
    return choice;
  }

  private cost(engine: EngineView, held: LoadedModel): number | undefined {
    const { name } = held;
    if (this.awaited.has(name)) return undefined;
    const { settings, demand, service } = this.situation;
    const rate = demand.rate(service, name, this.now);
    const replicas = fleetOf(this.situation).replicas(name).length;
    const isSurplus = replicas > targetReplicas(this.situation, name, this.now);
    // Its runs end before it is unloaded, and new requests go to the other replicas.
    if (isSurplus) return rate + (this.isUsed(engine, name) ? settings.runEndMs : 0);
    return this.isUsed(engine, name) ? undefined : this.reloadCost(engine, name);
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
