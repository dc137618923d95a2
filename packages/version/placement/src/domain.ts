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
import type { KeepWarmPolicy } from './keep-warm-policy';
import type { Change, CommitResult, RecordWriter } from './record-writer';
import type { LoadSpeed } from './load-speed';
import type { Loan } from './loan';
import { permitsUnrecordedLoad } from './outage-loads';
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

/** A failure domain as its holder sees and changes it in one epoch. */
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

  /** Items of the accepted bundle; undefined before there is one. */
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

  /** Replicas that count against the limit of an item. */
  count(name: string): number {
    return countReplicas(this.account(), this.claims(), name, this.poolOf(name));
  }

  /** Tells whether an engine takes new work: it is not leaving and no operator drains it. */
  isLive(engine: string): boolean {
    const { engines, view } = this.parts;
    return (
      engines.statuses.get(engine)?.state === HostState.live &&
      engines.statuses.get(engine)?.report?.state !== HostState.leaving &&
      view.endpoint(engine)?.state !== HostState.leaving
    );
  }

  /** Replicas that requests may go to. */
  routable(item: string): readonly Claim[] {
    return routableClaims(this.claims(), item).filter(
      ({ engine }) => this.isLive(engine) && !this.parts.drains.has(engine, item),
    );
  }

  /** Names of replicas that are ready and run nothing, one entry a replica. */
  idleItems(): readonly string[] {
    return [...this.claims().values()]
      .filter(({ reported }) => reported?.state === 'ready' && reported.running === 0)
      .map(({ item }) => itemNameOf(item));
  }

  /** Tells whether the engine takes new work and the present state of the store permits a load. */
  permitsLoad({ id, fencing }: EngineStatus, item: string): boolean {
    if (!this.isLive(id)) return false;
    if (!this.parts.recordWriter.isOutage || !this.parts.protections.intentBeforeOrder) return true;
    if (fencing) return permitsUnrecordedLoad(id, itemNameOf(item));
    const standing = this.standingIntentOf(id, item);
    return standing !== undefined && this.parts.recordWriter.isStored(standing.id);
  }

  /** Id for a new intent; unique because no two holders have the same epoch. */
  newId(): string {
    this.createdIntents += 1;
    return `${this.record.epoch}-${this.createdIntents.toString(36)}`;
  }

  /**
   * Records the intent to load an item, if limit and memory still allow it, and gives it once it
   * may be ordered. The caller sends the order or gives the intent back with `forget`.
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

  /** Commits a change; with the protection off, without waiting for the store. */
  async commit(change: Change): Promise<CommitResult> {
    const { recordWriter, protections } = this.parts;
    if (protections.intentBeforeOrder) return recordWriter.commit(change);
    const before = recordWriter.record;
    const written = recordWriter.commit({ apply: change.apply });
    return recordWriter.record === before ? written : 'confirmed';
  }

  /** Takes an intent out of the record whose order is known to have had no effect. */
  async removeIntent(id: string): Promise<void> {
    this.parts.engines.release(id);
    await this.parts.recordWriter.commit({
      apply: (record) => withoutIntents(record, new Set([id])),
    });
  }

  /**
   * Records a loan of this domain's slots, or the return of borrowed ones (`loan.taker` is this
   * domain and `isReturn`), once the replicas that are left fit. Confirmed by the store or not done.
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

  /** Tells whether `record` has room for the intent, in memory and within the item's limit. */
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
