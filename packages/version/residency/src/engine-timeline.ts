import type { EnginePool } from '@currantdrift/routes';
import { modelMemoryMb } from './engine-memory';
import type { EngineView } from './engine-view';
import type { EvictionPlanner, HeldModel } from './evictions';
import type { NeededModel } from './needed-models';

/** Expected time of an unload without running requests, in ms. */
export const unloadMs = 120;

/** Memory of an engine that a model occupies until it may be unloaded. */
interface Occupant {
  readonly sizeMb: number;
  /** Expected time of the earliest unload, in ms. */
  readonly freeAt: number;
}

/** The earliest load on an engine, after the unloads that it needs. */
export interface LoadStart {
  readonly at: number;
  readonly unloads: number;
}

/** What the timelines of a forecast share. */
export interface TimelineContext {
  readonly planner: EvictionPlanner;
  readonly pool: EnginePool;
  /** Time for which a model that was loaded for waiting requests is kept, in ms. */
  readonly keepMs: number;
  /** Mean size of the needed models, in MB. */
  readonly typicalMb: number;
}

const byRelease = (one: Occupant, other: Occupant): number => one.freeAt - other.freeAt;

/** The loads that a forecast assigns to one engine, one after another. */
export class EngineTimeline {
  private freeAt: number;

  private freeMb: number;

  /** Sorted by the time from which they may be unloaded. */
  private occupants: readonly Occupant[];

  /** Earliest start of a load of typical size, in ms; Infinity if it does not fit. */
  startsAt: number;

  private constructor(
    private readonly context: TimelineContext,
    readonly engine: EngineView,
    now: number,
  ) {
    const { operation } = engine;
    const { planner, pool } = context;
    this.freeAt = Math.max(now, operation?.endsAt ?? now);
    const { freeMb, held } = planner.contentsOf(engine);
    // The memory of models that are being unloaded is free before the next load.
    this.freeMb = engine.unloading.reduce((sum, one) => sum + modelMemoryMb(one, pool), freeMb);
    const occupants = held.map((one) => this.occupantOf(one, now));
    if (operation?.kind === 'load' && !held.some(({ name }) => name === operation.model)) {
      const sizeMb = modelMemoryMb({ name: operation.model, adapters: [] }, pool);
      occupants.push(this.occupantFrom(this.freeAt, sizeMb));
    }
    this.occupants = occupants.sort(byRelease);
    this.startsAt = this.typicalStart();
  }

  static create(context: TimelineContext, engine: EngineView, now: number): EngineTimeline {
    return new EngineTimeline(context, engine, now);
  }

  /** The earliest start of a load of the needed model; undefined if it cannot fit. */
  earliest({ model }: NeededModel): LoadStart | undefined {
    return this.startFor(model.sizeMb);
  }

  /** Assigns the load of a needed model that is ready at `readyAt`. */
  assign(need: NeededModel, readyAt: number): void {
    const { sizeMb } = need.model;
    const unloads = this.earliest(need)?.unloads ?? 0;
    const freedMb = this.occupants.slice(0, unloads).reduce((sum, one) => sum + one.sizeMb, 0);
    this.freeMb += freedMb - sizeMb;
    this.freeAt = readyAt;
    const left = this.occupants.slice(unloads);
    this.occupants = [...left, this.occupantFrom(readyAt, sizeMb)].sort(byRelease);
    this.startsAt = this.typicalStart();
  }

  private typicalStart(): number {
    return this.startFor(this.context.typicalMb)?.at ?? Infinity;
  }

  /** The start of a load for which the first occupants are unloaded until it fits. */
  private startFor(sizeMb: number): LoadStart | undefined {
    let missingMb = sizeMb - this.freeMb;
    let at = this.freeAt;
    let unloads = 0;
    while (missingMb > 0 && unloads < this.occupants.length) {
      const occupant = this.occupants[unloads];
      at = Math.max(at, occupant.freeAt);
      missingMb -= occupant.sizeMb;
      unloads += 1;
    }
    return missingMb > 0 ? undefined : { at, unloads };
  }

  private occupantOf(held: HeldModel, now: number): Occupant {
    const keptMs = Math.max(0, held.minKeepMs, held.isAwaited ? this.context.keepMs : 0);
    // A model with an eviction cost is idle, or has other replicas and is drained.
    const busyMs = held.costMs === undefined ? held.idleMs : held.drainMs;
    return { sizeMb: held.sizeMb, freeAt: now + Math.max(keptMs, busyMs) };
  }

  private occupantFrom(at: number, sizeMb: number): Occupant {
    return { sizeMb, freeAt: at + this.context.keepMs };
  }
}
