import {
  type Change,
  type Clock,
  decodeJson,
  type Entry,
  type Telemetry,
} from '@currantdrift/core';
import { z } from 'zod';
import type { EntryListener } from '../process/feed';
import { relaysOf } from './relays';
import { watchersOf } from './watchers';

export const memberPrefix = 'currantdrift/members/';
export const controllerKey = 'currantdrift/controller';
/** Prefix of all keys that the daemons write to the store. */
export const daemonPrefix = 'currantdrift/';

/** A daemon process of the deployment, one per host. */
export interface Member {
  readonly host: string;
  /** Address for peer connections, as `ip:port`. */
  readonly address: string;
  readonly domain: string;
  /** Processor time available to its host, in cores. */
  readonly processors: number;
}

/** The member that is the current controller. */
export interface ControllerEntry extends Member {
  /** Fencing token of its term. */
  readonly fence: number;
  readonly revision: number;
}

/**
 * Time after the removal of its key for which a member still receives updates, in ms. The store may
 * have refused its renewals, or it is stopping; in both cases it still serves requests.
 */
const removedMemberRetentionMs = 12_000;

const memberSchema = z.object({
  host: z.string().min(1),
  address: z.string().min(1),
  domain: z.string().min(1),
  processors: z.number().positive(),
});

export const encodeMember = (member: Member): Uint8Array => Buffer.from(JSON.stringify(member));

/** The members and the controller according to the store. */
export class Members implements EntryListener {
  private readonly members = new Map<string, Member>();

  /** Cached relays by failure domain; cleared when the members change. */
  private readonly domainRelays = new Map<string, readonly Member[]>();

  private fleetWatchers: readonly Member[] | undefined;

  /** Members whose keys were removed, and the time of the removal. */
  private readonly removed = new Map<string, { readonly member: Member; readonly at: number }>();

  private holder: ControllerEntry | undefined;

  private readonly listeners = new Set<() => void>();

  private readonly memberListeners = new Set<() => void>();

  private constructor(
    private readonly telemetry: Telemetry,
    private readonly clock: Clock,
  ) {}

  static create(telemetry: Telemetry, clock: Clock): Members {
    return new Members(telemetry, clock);
  }

  all(): Member[] {
    return [...this.members.values()];
  }

  /** All members except the one on `host`. */
  others(host: string): Member[] {
    return this.all().filter((member) => member.host !== host);
  }

  /**
   * Members that receive updates: all except the one on `host`, including those whose keys were removed
   * recently. A member that the store refuses loses its key but still serves requests.
   */
  recipients(host: string, now: number): readonly Member[] {
    this.removed.forEach(({ at }, key) => {
      if (now - at >= removedMemberRetentionMs) this.removed.delete(key);
    });
    const recentlyRemoved = [...this.removed.values()].map(({ member }) => member);
    return [...this.all(), ...recentlyRemoved].filter((member) => member.host !== host);
  }

  /** Members that read changes from the store on behalf of all others. */
  get watchers(): readonly Member[] {
    this.fleetWatchers ??= watchersOf(this.all());
    return this.fleetWatchers;
  }

  /** Members of a failure domain that forward messages to its other members. */
  relaysOf(domain: string): readonly Member[] {
    const found = this.domainRelays.get(domain) ?? relaysOf(this.all(), domain);
    this.domainRelays.set(domain, found);
    return found;
  }

  /** The relays of all failure domains. */
  get relays(): readonly Member[] {
    const domains = new Set(this.all().map(({ domain }) => domain));
    return [...domains].flatMap((domain) => this.relaysOf(domain));
  }

  get controller(): ControllerEntry | undefined {
    return this.holder;
  }

  /** Calls `listener` when the controller changes; returns a function that unsubscribes it. */
  onControllerChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Calls `listener` when members have been added or removed. */
  onMembersChange(listener: () => void): void {
    this.memberListeners.add(listener);
  }

  onListing(entries: readonly Entry[]): void {
    const before = new Set(this.members.keys());
    const keys = new Set(entries.map(({ key }) => key));
    [...this.members.keys()].filter((key) => !keys.has(key)).forEach((key) => this.remove(key));
    this.holder = undefined;
    entries.forEach((entry) => this.put(entry));
    this.notify();
    this.notifyMembers(before);
  }

  onChange(change: Change): void {
    const before = new Set(this.members.keys());
    if (change.kind === 'put') this.put(change.entry);
    else this.remove(change.key);
    this.notifyMembers(before);
  }

  private put(entry: Entry): void {
    if (entry.key !== controllerKey && !entry.key.startsWith(memberPrefix)) return;
    const member = decodeJson(memberSchema, entry.value).unwrapOr(undefined);
    if (member === undefined) {
      this.telemetry.count('currantdrift_malformed_entries_total', { kind: 'member' });
      this.telemetry.log('member.malformed', { key: entry.key, revision: entry.revision });
      return;
    }
    if (entry.key === controllerKey) {
      this.holder = { ...member, fence: entry.revision, revision: entry.revision };
      this.telemetry.log('controller', { host: member.host, fence: entry.revision });
      this.notify();
    } else {
      const hasNewAddress = this.members.get(entry.key)?.address !== member.address;
      this.members.set(entry.key, member);
      this.removed.delete(entry.key);
      this.invalidateRoles();
      if (hasNewAddress)
        this.telemetry.log('member', { host: member.host, address: member.address });
    }
  }

  private remove(key: string): void {
    if (key === controllerKey) {
      this.telemetry.log('controller.none', { before: this.holder?.host });
      this.holder = undefined;
      this.notify();
      return;
    }
    const member = this.members.get(key);
    if (member === undefined) return;
    this.members.delete(key);
    this.removed.set(key, { member, at: this.clock.now() });
    this.invalidateRoles();
    this.telemetry.log('member.removed', { key });
  }

  private invalidateRoles(): void {
    this.domainRelays.clear();
    this.fleetWatchers = undefined;
  }

  private notifyMembers(before: ReadonlySet<string>): void {
    const { members } = this;
    const isSame = members.size === before.size && [...before].every((key) => members.has(key));
    if (!isSame) this.memberListeners.forEach((listener) => listener());
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }
}
