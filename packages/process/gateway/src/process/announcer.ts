import type { EndpointLimits, Inventory, LimitReport } from '@currantdrift/fleet';
import type { EndpointLoad } from '@currantdrift/routing';
import type { UsageMessage } from '../connection/peer-messages';
import type { ManagedEngine } from './managed-engine';

/** Interval at which all inventories and limits are announced even if unchanged, in ms. */
const fullAnnouncementIntervalMs = 2_000;

/** Shortest interval between announcements, in ms. */
const minAnnouncementIntervalMs = 100;

/** Interval between announcements of the requests in flight, in ms. */
const loadAnnouncementIntervalMs = 300;

/** Time within which all members have reported to a new controller, in ms. */
const firstReportsMs = 1_500;

/** What the controller tells all members; each part is empty if there is no update. */
export interface Announcement {
  readonly inventories: readonly Inventory[];
  /** Requests in flight at each engine, summed over all members. */
  readonly loads: readonly EndpointLoad[];
  /** Request limits of endpoints. */
  readonly limits: readonly LimitReport[];
}

/** Decides what the controller announces and when: changes soon, everything at an interval. */
export class Announcer {
  /** What was last announced of each engine, and of the limit of each endpoint. */
  private readonly announced = new Map<string, string>();

  private readonly announcedRates = new Map<string, number | null>();

  private announcedAt = -Infinity;

  private fullAnnouncementAt = -Infinity;

  private loadsAnnouncedAt = -Infinity;

  /** Time of the first announcement of the term. */
  private beganAt: number | undefined;

  private constructor(
    private readonly limits: EndpointLimits,
    private readonly announce: (announcement: Announcement) => void,
  ) {}

  static create(limits: EndpointLimits, announce: (announcement: Announcement) => void): Announcer {
    return new Announcer(limits, announce);
  }

  /** Announces what has changed; batches changes within the minimum interval. */
  announceChanges(
    engines: ReadonlyMap<string, ManagedEngine>,
    flights: UsageMessage['flights'],
    now: number,
  ): void {
    if (now - this.announcedAt < minAnnouncementIntervalMs) return;
    const isFull = now - this.fullAnnouncementAt >= fullAnnouncementIntervalMs;
    if (isFull) this.fullAnnouncementAt = now;
    const inventories = this.changedInventories(engines, isFull);
    const loads = this.currentLoads(engines, flights, now);
    const limits = this.changedLimits(isFull, now);
    if (inventories.length + loads.length + limits.length === 0) return;
    this.announcedAt = now;
    this.announce({ inventories, loads, limits });
  }

  /** Inventories that changed since they were announced; all if `isFull`. */
  private changedInventories(
    engines: ReadonlyMap<string, ManagedEngine>,
    isFull: boolean,
  ): Inventory[] {
    return [...engines.entries()]
      .filter(([, managed]) => managed.isReady)
      .map(([endpoint, managed]) => ({ endpoint, bornAt: managed.bornAt, models: managed.served }))
      .filter((inventory) => {
        const text = JSON.stringify(inventory);
        const isNew = this.announced.get(inventory.endpoint) !== text;
        this.announced.set(inventory.endpoint, text);
        return isNew || isFull;
      });
  }

  /** Limits that changed since they were announced; all if `isFull`. */
  private changedLimits(isFull: boolean, now: number): LimitReport[] {
    return this.limits.reports(now).filter(({ endpoint, ratePerS }) => {
      const isNew = this.announcedRates.get(endpoint) !== ratePerS;
      this.announcedRates.set(endpoint, ratePerS);
      return isNew || isFull;
    });
  }

  /** Requests in flight at each engine; empty until the next announcement of them is due. */
  private currentLoads(
    engines: ReadonlyMap<string, ManagedEngine>,
    flights: UsageMessage['flights'],
    now: number,
  ): EndpointLoad[] {
    this.beganAt ??= now;
    // Before the members have reported to a new controller, every engine would look idle.
    if (now - this.beganAt < firstReportsMs) return [];
    if (now - this.loadsAnnouncedAt < loadAnnouncementIntervalMs) return [];
    this.loadsAnnouncedAt = now;
    const counts = new Map([...engines.keys()].map((id) => [id, 0]));
    flights.forEach(({ endpoint, count }) => {
      const before = counts.get(endpoint);
      if (before !== undefined) counts.set(endpoint, before + count);
    });
    return [...counts].map(([endpoint, inFlight]) => ({ endpoint, inFlight }));
  }
}
