import { BoundedMap, type Random } from '@currantdrift/core';
import { blame, type CrashEvidence } from './blame';
import type { ClearedParts, CrashReport, Quarantine, Suspect } from './crash-report';
import { defaultQuarantineSettings, type QuarantineSettings } from './settings';
import { isRequestSubject } from './subjects';

interface Crash {
  readonly service: string;
  readonly at: number;
  /** Suspects by prompt. */
  readonly suspects: Map<string, Suspect>;
}

interface KnownQuarantine extends Quarantine {
  /** Time until which requests are held back; after that one more crash renews it. */
  readonly until: number;
}

const joinKey = (...texts: readonly string[]): string => texts.join('\u0000');

const keyOf = ({ service, parts }: Pick<Quarantine, 'service' | 'parts'>): string =>
  joinKey(service, ...parts);

const containsAll = (parts: readonly string[], wanted: readonly string[]): boolean =>
  wanted.every((part) => parts.includes(part));

/**
 * Decides from the crashes that all processes report, and from the answers that engines survived, which
 * requests are held back: by parts of their prompts, or one request with its repeats. A process holds them
 * back for a random time, so that one of them tries such a request again before the others and they hear
 * how that ends.
 */
export class CrashLedger {
  private readonly crashes: BoundedMap<Crash>;

  /** Time of the last answer that an engine survived, by service and part. */
  private readonly cleared: BoundedMap<number>;

  private readonly quarantines: BoundedMap<KnownQuarantine>;

  private constructor(
    private readonly random: Random,
    private readonly settings: QuarantineSettings,
  ) {
    this.crashes = BoundedMap.create(settings.maxCrashes);
    this.cleared = BoundedMap.create(settings.maxClearedParts);
    this.quarantines = BoundedMap.create(settings.maxQuarantines);
  }

  static create(random: Random, settings: Partial<QuarantineSettings> = {}): CrashLedger {
    return new CrashLedger(random, { ...defaultQuarantineSettings, ...settings });
  }

  /** Adds a report; returns the quarantines that begin or are renewed by it. */
  recordCrash({ service, endpoint, bornAt, suspects }: CrashReport, now: number): Quarantine[] {
    const key = `${endpoint}@${bornAt}`;
    const crash = this.crashes.get(key) ?? { service, at: now, suspects: new Map() };
    suspects.forEach((suspect) => crash.suspects.set(suspect.prompt, suspect));
    this.crashes.set(key, crash);
    return [...this.renew(key, crash, now), ...this.decide(service, now)];
  }

  /** Whether all that the report says is known. */
  knows({ endpoint, bornAt, suspects }: CrashReport): boolean {
    const known = this.crashes.get(`${endpoint}@${bornAt}`)?.suspects;
    return (
      known !== undefined &&
      suspects.every(({ prompt, hasBegun, hasEvent }) => {
        const one = known.get(prompt);
        return one?.hasBegun === hasBegun && one.hasEvent === hasEvent;
      })
    );
  }

  /** Whether a crash of this start of the engine was reported. */
  hasCrashed(endpoint: string, bornAt: number): boolean {
    return this.crashes.get(`${endpoint}@${bornAt}`) !== undefined;
  }

  /** Records that engines survive answers on the parts; returns the quarantines that end by it. */
  recordCleared({ service, parts }: ClearedParts, now: number): Quarantine[] {
    parts.forEach((part) => this.cleared.set(joinKey(service, part), now));
    return this.quarantines.all().flatMap(([key, known]) => {
      const left = known.parts.filter((part) => !parts.includes(part));
      if (known.service !== service || left.length === known.parts.length) return [];
      this.quarantines.delete(key);
      // The parts that are left may not be to blame alone, but nothing shows that they are sound.
      if (left.length > 0) this.put({ ...known, parts: left });
      return [known];
    });
  }

  /** Adopts a quarantine that another process has decided on, unless its parts are known to be sound. */
  adopt(quarantine: Quarantine, now: number): Quarantine[] {
    const { service, parts } = quarantine;
    const isSuspected = this.uncleared(service, parts, now).length === parts.length;
    return isSuspected ? this.begin(quarantine, now) : [];
  }

  /** The quarantine that holds back requests with these subjects; undefined if there is none. */
  find(
    service: string,
    parts: readonly string[],
    now: number,
  ): (Quarantine & { readonly leftMs: number }) | undefined {
    const found = this.quarantines
      .all()
      .map(([, known]) => known)
      .find(
        (known) =>
          known.service === service && known.until > now && containsAll(parts, known.parts),
      );
    return found && { ...found, leftMs: found.until - now };
  }

  /** The quarantines in force. */
  active(now: number): Quarantine[] {
    return this.quarantines
      .all()
      .map(([, known]) => known)
      .filter(({ until }) => until > now);
  }

  /** The parts that no recent answer has cleared. */
  uncleared(service: string, parts: readonly string[], now: number): string[] {
    return parts.filter((part) => !this.isCleared(service, part, now));
  }

  /** Those of the parts that are suspected of a crash, here or in another process. */
  suspected(service: string, parts: readonly string[], now: number): string[] {
    const blamed = new Set(
      this.evidence(service, now)
        .flatMap(({ suspects }) => suspects)
        .flatMap((suspect) => suspect.parts),
    );
    this.quarantines
      .all()
      .filter(([, known]) => known.service === service)
      .forEach(([, known]) => known.parts.forEach((part) => blamed.add(part)));
    return parts.filter((part) => blamed.has(part));
  }

  /** An answer clears its parts for crashes from shortly before it on, and for a while after it. */
  private isCleared(service: string, part: string, crashedAt: number): boolean {
    const clearedAt = this.cleared.get(joinKey(service, part)) ?? -Infinity;
    return clearedAt > crashedAt - this.settings.clearedMs;
  }

  private evidence(service: string, now: number): CrashEvidence[] {
    return this.crashes
      .all()
      .filter(([, crash]) => crash.service === service && now - crash.at < this.settings.evidenceMs)
      .map(([key, { at, suspects }]) => ({
        crash: key,
        suspects: [...suspects.values()]
          .map((one) => ({ ...one, parts: this.uncleared(service, one.parts, at) }))
          .filter(({ parts }) => parts.length > 0),
      }));
  }

  private decide(service: string, now: number): Quarantine[] {
    return blame(service, this.evidence(service, now), this.settings).flatMap((found) =>
      this.begin(found, now),
    );
  }

  /** One crash is enough for requests that were held back before. */
  private renew(crash: string, { service, suspects }: Crash, now: number): Quarantine[] {
    return this.quarantines.all().flatMap(([, known]) => {
      const isBlamed = [...suspects.values()].some(
        ({ parts, hasBegun }) =>
          (hasBegun || known.parts.some(isRequestSubject)) && containsAll(parts, known.parts),
      );
      if (known.service !== service || known.until > now || !isBlamed) return [];
      return this.begin({ ...known, crashes: [...known.crashes, crash] }, now);
    });
  }

  /** Begins a quarantine unless it is in force, or a wider one is. */
  private begin(quarantine: Quarantine, now: number): Quarantine[] {
    const { service, parts } = quarantine;
    if (this.find(service, parts, now) !== undefined) return [];
    const durationMs = this.settings.quarantineMs * (1 + this.random.next());
    this.put({ ...quarantine, until: now + durationMs });
    return [quarantine];
  }

  private put(quarantine: KnownQuarantine): void {
    this.quarantines.set(keyOf(quarantine), quarantine);
  }
}
