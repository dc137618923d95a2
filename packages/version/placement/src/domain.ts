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
import { Catalogue, type Listed } from './catalogue';
import type { Placement } from './choice';
import type { Drains } from './drains';
import type { Engines } from './engines';
import type { EngineEvidence } from './evidence';
import { type Intent, IntentKind, itemNameOf, pairKey } from './intent';
import type { KeepWarm } from './keep-warm';
import type { Change, Commit, Ledger } from './ledger';
import type { LoadSpeed } from './load-speed';
import type { Loan } from './loan';
import { permitsUnrecorded } from './outage';
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
  readonly ledger: Ledger;
  readonly engines: Engines;
  readonly drains: Drains;
  readonly keepWarm: KeepWarm;
  readonly view: DomainView;
  readonly bundle: () => Bundle | undefined;
  readonly speed: LoadSpeed;
  readonly loads: Budget;
  readonly transits: Budget;
}

/** A failure domain as its holder sees and changes it in one epoch. */
export class Domain {
  private made = 0;

  private memo:
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
    return this.parts.ledger.record;
  }

  get isActive(): boolean {
    return !this.parts.ledger.isLost;
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
      evidence: engines.evidence,
      pending: engines.pending,
      doubtful: engines.doubtful,
      protections,
    };
  }

  claims(): ReadonlyMap<string, Claim> {
    const { record } = this;
    const { version } = this.parts.engines;
    if (this.memo?.record !== record || this.memo.version !== version) {
      this.memo = { record, version, claims: claimsOf(this.account()) };
    }
    return this.memo.claims;
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
      engines.evidence.get(engine)?.state === HostState.live &&
      engines.evidence.get(engine)?.report?.state !== HostState.leaving &&
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
  permits({ id, fencing }: EngineEvidence, item: string): boolean {
    if (!this.isLive(id)) return false;
    if (!this.parts.ledger.isOutage || !this.parts.protections.intentBeforeOrder) return true;
    if (fencing) return permitsUnrecorded(id, itemNameOf(item));
    const standing = this.standingOf(id, item);
    return standing !== undefined && this.parts.ledger.stands(standing.id);
  }

  /** Id for a new intent; unique because no two holders have the same epoch. */
  newId(): string {
    this.made += 1;
    return `${this.record.epoch}-${this.made.toString(36)}`;
  }

  /**
   * Records the intent to load an item, if limit and memory still allow it, and gives it once it
   * may be ordered. The caller sends the order or gives the intent back with `forget`.
   */
  async reserve(listed: Listed, placement: Placement): Promise<Intent | Commit> {
    const { engines, ledger } = this.parts;
    const engine = engines.evidence.get(placement.engine);
    if (engine === undefined) return 'rejected';
    const standing = this.standingOf(engine.id, listed.key);
    const usesStanding = standing !== undefined && ledger.stands(standing.id);
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
      return this.admits(base, intent, listed) ? withIntents(base, [intent]) : undefined;
    };
    const undo = (record: DomainRecord) =>
      withIntents(record, replaced, new Set([intent.id, ...replaced.map(({ id }) => id)]));
    const unrecorded =
      usesStanding || (engine.fencing && permitsUnrecorded(engine.id, listed.name));
    engines.reserve(intent.id);
    const commit = await this.commit(unrecorded ? { apply } : { apply, undo });
    if (commit === 'confirmed' || commit === 'unrecorded') return intent;
    engines.release(intent.id);
    return commit;
  }

  /** Commits a change; with the protection off, without waiting for the store. */
  async commit(change: Change): Promise<Commit> {
    const { ledger, protections } = this.parts;
    if (protections.intentBeforeOrder) return ledger.commit(change);
    const before = ledger.record;
    const written = ledger.commit({ apply: change.apply });
    return ledger.record === before ? written : 'confirmed';
  }

  /** Takes an intent out of the record whose order is known to have had no effect. */
  async forget(id: string): Promise<void> {
    this.parts.engines.release(id);
    await this.parts.ledger.commit({ apply: (record) => withoutIntents(record, new Set([id])) });
  }

  /**
   * Records a loan of this domain's slots, or the return of borrowed ones (`loan.taker` is this
   * domain and `isReturn`), once the replicas that are left fit. Confirmed by the store or not done.
   */
  changeLoan(loan: Loan, isReturn: boolean): Promise<Commit> {
    const { name } = this.parts;
    const changed = (record: DomainRecord) =>
      isReturn ? withoutLoan(record, loan.id) : withLoan(record, loan);
    return this.parts.ledger.commit({
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

  private standingOf(engine: string, item: string): Intent | undefined {
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
  admits(record: DomainRecord, intent: Intent, listed: Listed): boolean {
    const engine = this.parts.engines.evidence.get(intent.engine);
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
