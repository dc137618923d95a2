import type { WaitingRequest } from './demand';
import { EngineTimeline, type LoadStart, unloadMs } from './engine-timeline';
import { type EngineView, hasLoadedModel, LoadSource, loadSource } from './engine-view';
import { EvictionPlanner } from './evictions';
import { type NeededModel, withRequest } from './needed-models';
import { fleetIndex, loadTimeMs, type PlanInput } from './plan-input';
import { enginesForLoads, orderTimeMs } from './request-limits';

/** Age up to which a forecast is reused, in ms. */
const reuseMs = 50;

/** Number of engines that are compared for a load from the weight store. */
const remoteCandidates = 4;

/** A load that a forecast expects. */
export interface ForecastLoad {
  readonly engine: string;
  readonly source: LoadSource;
  /** Time at which the model is ready, on the controller's clock, in ms. */
  readonly readyAt: number;
}

/** A possible load of a needed model. */
interface Assignment {
  readonly timeline: EngineTimeline;
  readonly source: LoadSource;
  readonly readyAt: number;
}

/** Ends of the loads from the weight store in progress, one for each concurrent load, in ms. */
const storeSlots = (input: PlanInput, now: number): number[] => {
  const { engines, remoteLoads, remoteCapacity, pool } = input;
  const ends = engines.flatMap(({ operation }) =>
    operation?.remote === true ? [Math.max(now, operation.endsAt)] : [],
  );
  // Loads of other services are at an unknown point: half of a load remains on average.
  const [model] = pool.models.values();
  const unknown = Math.max(0, remoteLoads - ends.length);
  ends.push(...Array<number>(unknown).fill(now + (model?.remoteLoadMs ?? 0) / 2));
  const free = Math.max(0, remoteCapacity - ends.length);
  return [...ends, ...Array<number>(free).fill(now)]
    .sort((one, other) => other - one)
    .slice(0, Math.max(1, remoteCapacity));
};

/**
 * Expected load of each needed model, for all engines together. The models are assigned in the order in
 * which they are served, each to the engine on which it is ready first; that engine is occupied until
 * then. Loads from the weight store share its capacity, and models in use occupy their memory until
 * their requests are expected to end.
 */
export class LoadForecast {
  private readonly loads = new Map<string, ForecastLoad>();

  private readonly timelines = new Map<EngineView, EngineTimeline>();

  /** Ends of the loads that occupy the weight store, the latest first. */
  private readonly storeSlots: number[];

  /** The timelines, the one that can start a load of typical size first at the front. */
  private readonly byStart: EngineTimeline[];

  private readonly usable: ReadonlySet<EngineView>;

  private constructor(
    private readonly input: PlanInput,
    private readonly createdAt: number,
    private readonly needs: readonly NeededModel[],
  ) {
    const planner = EvictionPlanner.of(input, createdAt);
    const keepMs = input.settings.firstByteMs + planner.runMs;
    this.usable = enginesForLoads(input);
    const typicalMb = needs.reduce((sum, { model }) => sum + model.sizeMb, 0) / needs.length;
    this.usable.forEach((engine) => {
      const context = { planner, keepMs, typicalMb, pool: input.pool };
      this.timelines.set(engine, EngineTimeline.create(context, engine, createdAt));
    });
    this.byStart = [...this.timelines.values()].sort((a, b) => a.startsAt - b.startsAt);
    this.storeSlots = storeSlots(input, createdAt);
    needs.forEach((need) => this.place(need));
  }

  /**
   * The forecast for the requests that wait, and for `request` if its model is not among the needed
   * ones; undefined if no request waits for a model that has to be loaded.
   */
  static create(input: PlanInput, now: number, request?: WaitingRequest): LoadForecast | undefined {
    const { needs } = EvictionPlanner.of(input, now);
    if (needs.length === 0) return undefined;
    const isAdded =
      request !== undefined && !needs.some(({ model }) => model.name === request.model);
    return new LoadForecast(input, now, isAdded ? withRequest(input, needs, request, now) : needs);
  }

  /** Whether the forecast was made less than `reuseMs` ago and includes the model. */
  isUsable(model: string, now: number): boolean {
    return now - this.createdAt < reuseMs && this.needs.some((need) => need.model.name === model);
  }

  /** The expected load of a model; undefined if it is not needed or fits on no engine. */
  load(model: string): ForecastLoad | undefined {
    return this.loads.get(model);
  }

  private place(need: NeededModel): void {
    const { name } = need.model;
    const copies = fleetIndex(this.input)
      .enginesWithCopy(name)
      .filter((engine) => this.usable.has(engine) && !hasLoadedModel(engine, name));
    const fromCopy = this.earliest(copies, need);
    const remoteAt = this.storeFreeAt + need.model.remoteLoadMs;
    const isCopyFirst = fromCopy !== undefined && fromCopy.readyAt <= remoteAt;
    const anywhere = isCopyFirst ? undefined : this.earliestAnywhere(need);
    const isElsewhere =
      anywhere !== undefined && (fromCopy === undefined || anywhere.readyAt < fromCopy.readyAt);
    const chosen = isElsewhere ? anywhere : fromCopy;
    if (chosen !== undefined) this.assign(chosen, need);
  }

  /** The best of the engines that can load any model first. */
  private earliestAnywhere(need: NeededModel): Assignment | undefined {
    const { name } = need.model;
    const engines = this.byStart
      .slice(0, remoteCandidates + fleetIndex(this.input).replicas(name).length)
      .flatMap(({ engine }) => (hasLoadedModel(engine, name) ? [] : [engine]));
    return this.earliest(engines, need);
  }

  private earliest(engines: readonly EngineView[], need: NeededModel): Assignment | undefined {
    let best: Assignment | undefined;
    engines.forEach((engine) => {
      const one = this.assignmentAt(engine, need);
      if (one !== undefined && (best === undefined || one.readyAt < best.readyAt)) best = one;
    });
    return best;
  }

  /** Assigns a load and moves its engine to its new place in the order of starts. */
  private assign({ timeline, readyAt, source }: Assignment, need: NeededModel): void {
    timeline.assign(need, readyAt);
    this.byStart.splice(this.byStart.indexOf(timeline), 1);
    const index = this.byStart.findIndex(({ startsAt }) => startsAt > timeline.startsAt);
    this.byStart.splice(index < 0 ? this.byStart.length : index, 0, timeline);
    if (source === LoadSource.remote) this.occupyStore(readyAt);
    this.loads.set(need.model.name, { engine: timeline.engine.id, source, readyAt });
  }

  private assignmentAt(engine: EngineView, need: NeededModel): Assignment | undefined {
    const timeline = this.timelines.get(engine);
    const start = timeline?.earliest(need);
    if (timeline === undefined || start === undefined) return undefined;
    const source = loadSource(engine, need.model.name);
    const readyAt = this.readyAt(engine, need, source, start);
    return { source, readyAt, timeline };
  }

  private readyAt(
    engine: EngineView,
    { model }: NeededModel,
    source: LoadSource,
    { at, unloads }: LoadStart,
  ): number {
    const startsAt = source === LoadSource.remote ? Math.max(at, this.storeFreeAt) : at;
    const unloadsMs = orderTimeMs(engine, unloads) + unloads * unloadMs;
    return startsAt + unloadsMs + loadTimeMs(model, source);
  }

  /** Time at which the weight store can serve a further load at full speed. */
  private get storeFreeAt(): number {
    return this.storeSlots[this.storeSlots.length - 1];
  }

  private occupyStore(until: number): void {
    this.storeSlots[this.storeSlots.length - 1] = until;
    this.storeSlots.sort((one, other) => other - one);
  }
}
