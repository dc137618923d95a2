import type { LoadedItem } from '@currantdrift/core';
import { type EngineStatus, type EngineStatuses, enforcesEpoch } from './engine-status';
import { type Intent, IntentKind, itemNameOf, reservesMemory, pairKey } from './intent';
import { permitsUnrecordedLoad } from './outage';
import { allProtections, type Protections } from './protections';
import type { DomainRecord } from './record';

/** Memory of an engine that an item occupies or may come to occupy. */
export interface Claim {
  readonly engine: string;
  /** Item key. */
  readonly item: string;
  readonly bytes: number;
  /** Recorded intents for this item on this engine, oldest first. */
  readonly intents: readonly Intent[];
  /** The item in the engine's newest report; undefined if the report does not list it. */
  readonly reported: LoadedItem | undefined;
  /** True if an order for the item has an unknown result, so the engine may or may not hold it. */
  readonly inDoubt: boolean;
}

/** Snapshot of all state that memory and replica accounting depends on. */
export interface Account {
  readonly record: DomainRecord;
  readonly statuses: EngineStatuses;
  /** Ids of intents whose order this process is about to send or awaits the result of. */
  readonly pending: ReadonlySet<string>;
  /** Subset of `pending` whose order timed out or whose response was lost. */
  readonly doubtful: ReadonlySet<string>;
  readonly protections?: Protections;
}

/** Tells whether a former holder of the domain may still send the order of the intent. */
export const mayBeSentByFormerHolder = (
  { epoch, answered }: Intent,
  record: DomainRecord,
): boolean => epoch < record.epoch && !answered;

/**
 * Tells whether the engine has restarted since the intent was created, so that the intent can have
 * no further effect. An intent whose order may still be sent by any process is never superseded.
 */
const isSuperseded = (intent: Intent, account: Account): boolean => {
  const report = account.statuses.get(intent.engine)?.report;
  if (report === undefined || report.bootId === intent.bootId) return false;
  return !mayBeSentByFormerHolder(intent, account.record) && !account.pending.has(intent.id);
};

const isCounted = (intent: Intent, account: Account): boolean => {
  if (!reservesMemory(intent) || isSuperseded(intent, account)) return false;
  const { countInDoubt, pairExclusion } = account.protections ?? allProtections;
  if (intent.answered) return true;
  if (account.pending.has(intent.id) && !account.doubtful.has(intent.id)) return true;
  if (mayBeSentByFormerHolder(intent, account.record) && !pairExclusion) return false;
  return countInDoubt || intent.kind === IntentKind.standing;
};

type Draft = { -readonly [Field in keyof Claim]: Claim[Field] } & { readonly intents: Intent[] };

/** All claims on engine memory, by `pairKey` of engine and item. */
export const claimsOf = (account: Account): ReadonlyMap<string, Claim> => {
  const { record, statuses, pending, doubtful } = account;
  const drafts = new Map<string, Draft>();
  statuses.forEach(({ id, report }) =>
    report?.items.forEach((reported) => {
      const { item, bytes } = reported;
      drafts.set(pairKey(id, item), {
        engine: id,
        item,
        bytes,
        intents: [],
        reported,
        inDoubt: false,
      });
    }),
  );
  const keys = record.intents.map(({ engine, item }) => pairKey(engine, item));
  record.intents.forEach((intent, index) => {
    if (!isCounted(intent, account)) return;
    const { engine, item, bytes } = intent;
    const draft = drafts.get(keys[index]);
    if (draft !== undefined) draft.bytes = Math.max(draft.bytes, bytes);
    else {
      drafts.set(keys[index], {
        engine,
        item,
        bytes,
        intents: [],
        reported: undefined,
        inDoubt: false,
      });
    }
  });
  record.intents.forEach((intent, index) => {
    const draft = drafts.get(keys[index]);
    if (draft === undefined) return;
    draft.intents.push(intent);
    draft.inDoubt ||= !intent.answered && (!pending.has(intent.id) || doubtful.has(intent.id));
  });
  return drafts;
};

interface ClaimIndex {
  readonly byEngine: ReadonlyMap<string, readonly Claim[]>;
  readonly byName: ReadonlyMap<string, readonly Claim[]>;
}

const indexes = new WeakMap<ReadonlyMap<string, Claim>, ClaimIndex>();

const grouped = (
  claims: ReadonlyMap<string, Claim>,
  keyOf: (claim: Claim) => string,
): ReadonlyMap<string, readonly Claim[]> => {
  const groups = new Map<string, Claim[]>();
  claims.forEach((claim) => {
    const group = groups.get(keyOf(claim));
    if (group === undefined) groups.set(keyOf(claim), [claim]);
    else group.push(claim);
  });
  return groups;
};

const indexOf = (claims: ReadonlyMap<string, Claim>): ClaimIndex => {
  const known = indexes.get(claims);
  if (known !== undefined) return known;
  const index = {
    byEngine: grouped(claims, ({ engine }) => engine),
    byName: grouped(claims, ({ item }) => itemNameOf(item)),
  };
  indexes.set(claims, index);
  return index;
};

/** Claims on the memory of one engine. */
export const claimsOn = (claims: ReadonlyMap<string, Claim>, engine: string): readonly Claim[] =>
  indexOf(claims).byEngine.get(engine) ?? [];

/** Claims for all versions of an item; `name` has no version. */
export const claimsFor = (claims: ReadonlyMap<string, Claim>, name: string): readonly Claim[] =>
  indexOf(claims).byName.get(name) ?? [];

/** Claims by item name without version. */
export const claimsByName = (
  claims: ReadonlyMap<string, Claim>,
): ReadonlyMap<string, readonly Claim[]> => indexOf(claims).byName;

/** Bytes of the engine's memory that are in use or reserved by claims. */
export const committedBytes = (claims: ReadonlyMap<string, Claim>, engine: string): number =>
  claimsOn(claims, engine).reduce((sum, { bytes }) => sum + bytes, 0);

/**
 * Tells whether an engine may hold a replica of `name` that is missing from the record: a former
 * holder may have loaded it during a store outage, and the engine has not reported since.
 */
export const mayHoldUnrecorded = (
  { id, fencing, report }: EngineStatus,
  name: string,
  { epoch, unrecorded }: DomainRecord,
): boolean =>
  unrecorded &&
  fencing &&
  permitsUnrecordedLoad(id, name) &&
  !(report !== undefined && report.epoch >= epoch);

/**
 * Number of replicas of an item, all versions together, that count against its limit. Includes
 * engines that may hold an unrecorded replica.
 *
 * @param name item name without version
 * @param pool pool of the item's model; engines of other pools cannot hold an unrecorded replica
 */
export const countReplicas = (
  account: Account,
  claims: ReadonlyMap<string, Claim>,
  name: string,
  pool: string,
): number => {
  const holding = claimsFor(claims, name);
  if (!account.record.unrecorded) return holding.length;
  const engines = new Set(holding.map(({ engine }) => engine));
  const unheard = [...account.statuses.values()].filter(
    (engine) =>
      engine.pool === pool &&
      !engines.has(engine.id) &&
      mayHoldUnrecorded(engine, name, account.record),
  );
  return holding.length + unheard.length;
};

const hasUnload = ({ intents }: Claim): boolean =>
  intents.some(({ kind }) => kind === IntentKind.unload);

/** Tells whether requests may be routed to the replica: it is ready and has no pending unload. */
export const isRoutable = (claim: Claim): boolean =>
  claim.reported?.state === 'ready' && !hasUnload(claim);

/** Claims for the item key that requests may be routed to, sorted by engine id. */
export const routableClaims = (
  claims: ReadonlyMap<string, Claim>,
  item: string,
): readonly Claim[] =>
  claimsFor(claims, itemNameOf(item))
    .filter((claim) => claim.item === item && isRoutable(claim))
    .sort((a, b) => (a.engine < b.engine ? -1 : 1));

const formerHolderPairs = new WeakMap<DomainRecord, ReadonlySet<string>>();

const formerHolderPairsOf = (record: DomainRecord): ReadonlySet<string> => {
  const known = formerHolderPairs.get(record);
  if (known !== undefined) return known;
  const pairs = new Set(
    record.intents
      .filter((intent) => mayBeSentByFormerHolder(intent, record))
      .map(({ engine, item }) => pairKey(engine, item)),
  );
  formerHolderPairs.set(record, pairs);
  return pairs;
};

/**
 * Tells whether the controller must not send orders for the item on the engine, because a former
 * holder may still send one.
 */
export const isExcluded = (account: Account, engine: string, item: string): boolean =>
  (account.protections ?? allProtections).pairExclusion &&
  formerHolderPairsOf(account.record).has(pairKey(engine, item));

/**
 * Tells whether the controller may send orders to the engine. An engine that enforces fencing must
 * first have confirmed the current epoch in a report.
 */
export const acceptsOrders = (engine: EngineStatus, epoch: number): boolean =>
  engine.report !== undefined && (!engine.fencing || enforcesEpoch(engine, epoch));
