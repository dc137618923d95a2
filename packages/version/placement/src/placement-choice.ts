import { CacheTier, HostState } from '@currantdrift/core';
import {
  type Account,
  acceptsOrders,
  type Claim,
  claimsOn,
  committedBytes,
  isExcluded,
  isRoutable,
} from './accounting';
import type { EngineStatus } from './engine-status';
import { IntentKind, isAdapterOf, itemNameOf, pairKey } from './intent';

/** The item to place. */
export interface PlacementRequest {
  /** Item key. */
  readonly item: string;
  readonly bytes: number;
  readonly pool: string;
  /** Key of the model that an adapter needs on the same engine. */
  readonly model?: string;
}

/** State and estimates that a placement depends on; times in ms. */
export interface PlacementInputs {
  readonly account: Account;
  readonly claims: ReadonlyMap<string, Claim>;
  /** Replicas that are being drained or unloaded, by `pairKey`. */
  readonly draining: ReadonlySet<string>;
  /** Engines on which an earlier attempt of this load failed. */
  readonly avoided: ReadonlySet<string>;
  /** Load level of an engine, in eighths of its slots. */
  readonly level: (engine: string) => number;
  /** Whether an engine limits its requests, so that a replica there can serve little. */
  readonly isLimited: (engine: string) => boolean;
  /** Value of keeping an item loaded, by name without version. */
  readonly value: (name: string) => number;
  readonly loadMs: (bytes: number, tier: CacheTier) => number;
  /** Expected wait before a load from this tier may start. */
  readonly queueMs: (tier: CacheTier) => number;
  /** Time that evictions delay the load. */
  readonly evictMs: number;
  /** Tells whether the engine takes new work and, in a store outage, may load the item. */
  readonly permits: (engine: EngineStatus, item: string) => boolean;
}

/** The engine chosen for an item, and what must be evicted first. */
export interface Placement {
  readonly engine: string;
  readonly bootId: string;
  readonly tier: CacheTier;
  readonly evictions: readonly Claim[];
  /** Ids of the standing intents that the load replaces. */
  readonly withdrawn: readonly string[];
  /** Estimated time until the item is ready, in ms, plus a penalty for the engine's load. */
  readonly estimateMs: number;
  /** Whether the engine limits its requests. */
  readonly limited: boolean;
}

/** Penalty, in ms, for each eighth of load: a loaded engine has a longer time to first token. */
const levelMs = 25;

/** Largest number of evictions for one load; more would unload half an engine for one item. */
const maxEvictions = 8;

const isStandingOnly = ({ intents, reported }: Claim): boolean =>
  reported === undefined &&
  intents.length > 0 &&
  intents.every(({ kind }) => kind === IntentKind.standing);

/** Cache tier from which the engine would load an item. */
export const tierOf = ({ report }: EngineStatus, item: string): CacheTier =>
  report?.cached.find((cached) => cached.item === item)?.tier ?? CacheTier.remote;

const isIdle = (claim: Claim, inputs: PlacementInputs): boolean =>
  isRoutable(claim) &&
  !claim.inDoubt &&
  claim.reported?.running === 0 &&
  !inputs.draining.has(pairKey(claim.engine, claim.item)) &&
  !isExcluded(inputs.account, claim.engine, claim.item);

/** The claim preceded by those of its adapters: a model is evicted together with its adapters. */
const withAdapters = (claim: Claim, onEngine: readonly Claim[]): readonly Claim[] => [
  ...onEngine.filter(({ item }) => item !== claim.item && isAdapterOf(item, claim.item)),
  claim,
];

const evictionsFor = (
  shortBytes: number,
  wanted: PlacementRequest,
  onEngine: readonly Claim[],
  inputs: PlacementInputs,
): readonly Claim[] | undefined => {
  const groups = onEngine
    .filter((claim) => claim.item !== wanted.model && isIdle(claim, inputs))
    .map((claim) => withAdapters(claim, onEngine))
    .filter((group) => group.every((claim) => isIdle(claim, inputs)))
    .map((group) => ({
      group,
      bytes: group.reduce((sum, { bytes }) => sum + bytes, 0),
      value: group.reduce((sum, { item }) => sum + inputs.value(itemNameOf(item)), 0),
    }))
    .sort((a, b) => a.value / a.bytes - b.value / b.bytes);
  const chosen = new Set<Claim>();
  let freed = 0;
  groups.forEach(({ group }) => {
    if (freed >= shortBytes) return;
    group
      .filter((claim) => !chosen.has(claim))
      .forEach((claim) => {
        chosen.add(claim);
        freed += claim.bytes;
      });
  });
  return freed >= shortBytes && chosen.size <= maxEvictions ? [...chosen] : undefined;
};

const placementOn = (
  engine: EngineStatus,
  wanted: PlacementRequest,
  inputs: PlacementInputs,
): Placement | undefined => {
  const { account, claims } = inputs;
  const { report } = engine;
  if (report === undefined || engine.pool !== wanted.pool) return undefined;
  if (engine.state !== HostState.live || !acceptsOrders(engine, account.record.epoch)) {
    return undefined;
  }
  if (inputs.avoided.has(engine.id) || isExcluded(account, engine.id, wanted.item)) {
    return undefined;
  }
  if (!inputs.permits(engine, wanted.item) || wanted.bytes > report.memoryBytes) return undefined;
  const onEngine = claimsOn(claims, engine.id);
  if (wanted.model !== undefined) {
    const model = claims.get(pairKey(engine.id, wanted.model));
    if (model === undefined || !isRoutable(model)) return undefined;
    if (inputs.draining.has(pairKey(engine.id, wanted.model))) return undefined;
  }
  const own = claims.get(pairKey(engine.id, wanted.item));
  if (own !== undefined && !isStandingOnly(own)) return undefined;
  const standing = onEngine.filter((claim) => isStandingOnly(claim) && claim !== own);
  const withdrawable = standing.filter(
    ({ item, intents }) =>
      !isExcluded(account, engine.id, item) &&
      intents.every(({ epoch }) => epoch === account.record.epoch),
  );
  const free = report.memoryBytes - committedBytes(claims, engine.id) + (own?.bytes ?? 0);
  const withdrawn: Claim[] = [];
  let short = wanted.bytes - free;
  withdrawable.forEach((claim) => {
    if (short <= 0) return;
    withdrawn.push(claim);
    short -= claim.bytes;
  });
  const evictions = short > 0 ? evictionsFor(short, wanted, onEngine, inputs) : [];
  if (evictions === undefined) return undefined;
  const tier = tierOf(engine, wanted.item);
  return {
    engine: engine.id,
    bootId: report.bootId,
    tier,
    evictions,
    withdrawn: withdrawn.flatMap(({ intents }) => intents.map(({ id }) => id)),
    estimateMs:
      inputs.loadMs(wanted.bytes, tier) +
      inputs.queueMs(tier) +
      (evictions.length > 0 ? inputs.evictMs : 0) +
      inputs.level(engine.id) * levelMs,
    limited: inputs.isLimited(engine.id),
  };
};

/**
 * All possible placements of the item, sorted by estimated time to first token; those on engines that
 * limit their requests come last.
 */
export const placementsFor = (
  wanted: PlacementRequest,
  inputs: PlacementInputs,
): readonly Placement[] =>
  [...inputs.account.statuses.values()]
    .map((engine) => placementOn(engine, wanted, inputs))
    .filter((placement) => placement !== undefined)
    .sort(
      (a, b) =>
        Number(a.limited) - Number(b.limited) ||
        a.estimateMs - b.estimateMs ||
        a.evictions.length - b.evictions.length ||
        a.withdrawn.length - b.withdrawn.length ||
        (a.engine < b.engine ? -1 : 1),
    );
