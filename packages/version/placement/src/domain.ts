import {
  type Bundle,
  type Clock,
  type DomainView,
  HostState,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import {
  type Account,
  acceptsOrders,
  type Claim,
  claimsOf,
  committedBytes,
  countReplicas,
  isExcluded,
  routableClaims,
} from './accounting';
import type { Budget } from './budget';
import { Catalogue, type CatalogueItem } from './catalogue';
import type { Placement } from './placement-choice';
import type { Drains } from './drains';
import type { Engines } from './engines';
import type { EngineStatus } from './engine-status';
import { type Intent, IntentKind, itemNameOf, pairKey } from './intent';
import type { KeepWarmPolicy } from './keep-warm';
import type { Change, CommitResult, RecordWriter } from './record-writer';
import type { LoadSpeed } from './load-speed';
import type { Loan } from './loan';
import { permitsUnrecordedLoad } from './outage';
import type { Protections } from './protections';
import type { DomainRecord } from './record';
import { withIntents, withLoan, withoutIntents, withoutLoan } from './record-updates';
import type { PlacementSettings } from './settings';

export interface DomainParts {
  readonly name: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly settings: PlacementSettings;
  readonly protections: Protections;
  readonly recordWriter: RecordWriter;
  readonly engines: Engines;
  readonly drains: Drains;
  readonly keepWarm: KeepWarmPolicy;
  readonly view: DomainView;
  readonly bundle: () => Bundle | undefined;
  readonly speed: LoadSpeed;
  readonly loads: Budget;
  readonly transits: Budget;
}

/** State of a failure domain during one epoch of its holder, and the changes to its record. */
export class Domain {
  private createdIntents = 0;

  private cachedClaims:
    | {
        readonly record: DomainRecord;
        readonly version: number;
        readonly claims: ReadonlyMap<string, Claim>;
      }
    | undefined;

  private listing: Catalogue | undefined;

  private constructor(readonly parts: DomainParts) {}

  static create(parts: DomainParts): Domain {
    return new Domain(parts);
  }

  get record(): DomainRecord {
    return this.parts.recordWriter.record;
  }

  get isActive(): boolean {
    return !this.parts.recordWriter.isLost;
  }

  /** Items of the accepted bundle; undefined if there is none yet. */
  get catalogue(): Catalogue | undefined {
    const bundle = this.parts.bundle();
    if (bundle === undefined) return undefined;
    if (this.listing?.bundle !== bundle) this.listing = Catalogue.create(bundle);
    return this.listing;
  }

  account(record = this.record): Account {
    const { engines, protections } = this.parts;
    return {
      record,
      statuses: engines.statuses,
      pending: engines.pending,
      doubtful: engines.doubtful,
      protections,
    };
  }

  claims(): ReadonlyMap<string, Claim> {
    const { record } = this;
    const { version } = this.parts.engines;
    if (this.cachedClaims?.record !== record || this.cachedClaims.version !== version) {
      this.cachedClaims = { record, version, claims: claimsOf(this.account()) };
    }
    return this.cachedClaims.claims;
  }

  allotted(name: string): number {
    return this.catalogue?.allotted(name, this.parts.name, this.record) ?? 0;
  }

  /** Number of replicas that count against the limit of an item. */
  count(name: string): number {
    return countReplicas(this.account(), this.claims(), name, this.poolOf(name));
  }

  /** Tells whether an engine takes new work: it is live and, by all sources, not leaving. */
  isLive(engine: string): boolean {
    const { engines, view } = this.parts;
    return (
      engines.statuses.get(engine)?.state === HostState.live &&
      engines.statuses.get(engine)?.report?.state !== HostState.leaving &&
      view.endpoint(engine)?.state !== HostState.leaving
    );
  }

  /** Replicas that requests may be routed to. */
  routable(item: string): readonly Claim[] {
    return routableClaims(this.claims(), item).filter(
      ({ engine }) => this.isLive(engine) && !this.parts.drains.has(engine, item),
    );
  }

  /** Item names of the replicas that are ready and idle; one entry per replica. */
  idleItems(): readonly string[] {
    return [...this.claims().values()]
      .filter(({ reported }) => reported?.state === 'ready' && reported.running === 0)
      .map(({ item }) => itemNameOf(item));
  }

  /** Tells whether the engine takes new work and, in a store outage, may load the item. */
  permitsLoad({ id, fencing }: EngineStatus, item: string): boolean {
    if (!this.isLive(id)) return false;
    if (!this.parts.recordWriter.isOutage || !this.parts.protections.intentBeforeOrder) return true;
    if (fencing) return permitsUnrecordedLoad(id, itemNameOf(item));
    const standing = this.standingIntentOf(id, item);
    return standing !== undefined && this.parts.recordWriter.isStored(standing.id);
  }

  /** Creates an intent id; it is unique because each holder has its own epoch. */
  newId(): string {
    this.createdIntents += 1;
    return `${this.record.epoch}-${this.createdIntents.toString(36)}`;
  }

  /**
   * Records an intent to load an item if its limit and the engine's memory allow it. Resolves with
   * the intent once its order may be sent. The caller then sends the order or calls `removeIntent`.
   */
  async reserve(listed: CatalogueItem, placement: Placement): Promise<Intent | CommitResult> {
    const { engines, recordWriter } = this.parts;
    const engine = engines.statuses.get(placement.engine);
    if (engine === undefined) return 'rejected';
    const standing = this.standingIntentOf(engine.id, listed.key);
    const usesStanding = standing !== undefined && recordWriter.isStored(standing.id);
    const intent: Intent = {
      id: usesStanding ? standing.id : this.newId(),
      engine: engine.id,
      bootId: placement.bootId,
      item: listed.key,
      bytes: listed.bytes,
      kind: IntentKind.load,
      epoch: this.record.epoch,
      answered: false,
    };
    let replaced: readonly Intent[] = [];
    const apply = (record: DomainRecord): DomainRecord | undefined => {
      replaced = record.intents.filter(
        ({ id, kind, epoch, item }) =>
          kind === IntentKind.standing &&
          epoch === record.epoch &&
          (placement.withdrawn.includes(id) || itemNameOf(item) === listed.name),
      );
      const base = withoutIntents(record, new Set(replaced.map(({ id }) => id)));
      return this.hasRoomFor(base, intent, listed) ? withIntents(base, [intent]) : undefined;
    };
    const undo = (record: DomainRecord) =>
      withIntents(record, replaced, new Set([intent.id, ...replaced.map(({ id }) => id)]));
    const unrecorded =
      usesStanding || (engine.fencing && permitsUnrecordedLoad(engine.id, listed.name));
    engines.reserve(intent.id);
    const commit = await this.commit(unrecorded ? { apply } : { apply, undo });
    if (commit === 'confirmed' || commit === 'unrecorded') return intent;
    engines.release(intent.id);
    return commit;
  }

  /** Commits a change; does not wait for the store if `intentBeforeOrder` is disabled. */
  async commit(change: Change): Promise<CommitResult> {
    const { recordWriter, protections } = this.parts;
    if (protections.intentBeforeOrder) return recordWriter.commit(change);
    const before = recordWriter.record;
    const written = recordWriter.commit({ apply: change.apply });
    return recordWriter.record === before ? written : 'confirmed';
  }

  /** Removes an intent whose order is known to have had no effect. */
  async removeIntent(id: string): Promise<void> {
    this.parts.engines.release(id);
    await this.parts.recordWriter.commit({
      apply: (record) => withoutIntents(record, new Set([id])),
    });
  }

  /**
   * Records a loan, or its end if `isReturn`. A change that lowers this domain's allotment is
   * rejected unless its replicas fit the new one. The change is undone if the store is down.
   */
  changeLoan(loan: Loan, isReturn: boolean): Promise<CommitResult> {
    const { name } = this.parts;
    const changed = (record: DomainRecord) =>
      isReturn ? withoutLoan(record, loan.id) : withLoan(record, loan);
    return this.parts.recordWriter.commit({
      apply: (record) => {
        const next = changed(record);
        const isLoss = isReturn ? loan.taker === name : loan.giver === name;
        const account = this.account(next);
        const used = countReplicas(account, claimsOf(account), loan.item, this.poolOf(loan.item));
        const allotted = this.catalogue?.allotted(loan.item, name, next) ?? 0;
        const before = this.catalogue?.allotted(loan.item, name, record) ?? 0;
        const isCovered = !isLoss || (used <= allotted && before - allotted === loan.slots);
        return isCovered ? next : undefined;
      },
      undo: (record) => (isReturn ? withLoan(record, loan) : withoutLoan(record, loan.id)),
    });
  }

  poolOf(name: string): string {
    return this.catalogue?.get(name)?.pool ?? '';
  }

  private standingIntentOf(engine: string, item: string): Intent | undefined {
    const { epoch, intents } = this.record;
    return intents.find(
      (intent) =>
        intent.kind === IntentKind.standing &&
        intent.epoch === epoch &&
        intent.engine === engine &&
        intent.item === item,
    );
  }

  /** Tells whether the intent fits the engine's memory and the item's allotment in `record`. */
  hasRoomFor(record: DomainRecord, intent: Intent, listed: CatalogueItem): boolean {
    const engine = this.parts.engines.statuses.get(intent.engine);
    const report = engine?.report;
    if (engine === undefined || report === undefined || report.bootId !== intent.bootId) {
      return false;
    }
    const account = this.account(record);
    if (!this.isLive(engine.id) || !acceptsOrders(engine, record.epoch)) return false;
    if (isExcluded(account, engine.id, intent.item)) return false;
    const claims = claimsOf(account);
    if (claims.has(pairKey(engine.id, intent.item))) return false;
    const replicas = countReplicas(account, claims, listed.name, listed.pool);
    if (replicas >= this.allotted(listed.name)) return false;
    return committedBytes(claims, engine.id) + intent.bytes <= report.memoryBytes;
  }
}
