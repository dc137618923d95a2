import { BoundedMap, type Clock, type Random, type Telemetry } from '@currantdrift/core';
import type { CrashLedger } from './crash-ledger';
import {
  type ClearedParts,
  type CrashReport,
  maxParts,
  maxSuspects,
  type Quarantine,
  type Suspect,
} from './crash-report';
import { defaultQuarantineSettings } from './settings';
import { isRequestSubject, requestSubject, subjectsOf } from './subjects';
import { type AnswerObserver, type WatchedRequest, WatchedSend } from './watched-send';

const { clearAfterMs } = defaultQuarantineSettings;

/** State of an engine whose connections broke. */
export const EngineState = { alive: 'alive', ended: 'ended', unknown: 'unknown' } as const;
export type EngineState = (typeof EngineState)[keyof typeof EngineState];

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly ledger: CrashLedger;
  /** Asks whether the start of the engine is still running. */
  readonly probe: (request: WatchedRequest) => Promise<EngineState>;
  /** Sends what this process saw of a crash to the other processes. */
  readonly publishCrash: (report: CrashReport) => void;
  /** Tells the other processes that suspected parts are sound. */
  readonly publishCleared: (cleared: ClearedParts) => void;
  /** Called when the reports lead to a quarantine; `isOwn` if this process has reported a crash of it. */
  readonly onBegin?: (quarantine: Quarantine, isOwn: boolean) => void;
  /** Called when an answer in this process shows that a quarantine is not needed. */
  readonly onEnd?: (quarantine: Quarantine) => void;
  /** Number of processes that publish the same answers. */
  readonly members: () => number;
}

/** A break of connections to one start of an engine, while its cause is examined. */
interface Examination {
  /** Suspects by digest. */
  readonly suspects: Map<string, Suspect>;
  readonly state: Promise<EngineState>;
}

/** Time in which the requests that break with an engine are gathered, in ms. */
const gatherMs = 30;

/** Longest random delay before an answer that clears parts is published, per member and at least, in ms. */
const clearSpreadPerMemberMs = 2;
const minClearSpreadMs = 100;

/** Number of parts and crashes for which is remembered what was sent or received. */
const maxRemembered = 4_096;

const describeSuspect = ({ prompt, parts, hasBegun, hasEvent }: Suspect): string =>
  `${prompt}${hasBegun ? ' begun' : ''}${hasEvent ? ' with event' : ''}: ${parts.join(' ')}`;

const partKey = (service: string, part: string): string => `${service}\u0000${part}`;

/** Identifies a start of an engine. */
const startKey = ({ endpoint, bornAt }: Pick<WatchedRequest, 'endpoint' | 'bornAt'>): string =>
  `${endpoint}@${bornAt}`;

/**
 * Watches the requests of this process at engines: finds those that may have crashed an engine, reports
 * them to all processes, and holds back those that are known to crash engines.
 */
export class CrashWatch implements AnswerObserver {
  private readonly sends = new Set<WatchedSend>();

  private readonly examinations = new Map<string, Examination>();

  /** Time at which another process last told that a part is sound, by service and part. */
  private readonly heard = BoundedMap.create<number>(maxRemembered);

  /** Crashes that this process has reported. */
  private readonly reported = BoundedMap.create<true>(maxRemembered);

  private constructor(private readonly options: CrashWatchOptions) {}

  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /** Watches a send; `cancel` is called if it waits at an engine when it is found to crash engines. */
  begin(request: WatchedRequest, cancel: (reason: Error) => void): WatchedSend {
    const send = WatchedSend.create(this, request, cancel);
    this.sends.add(send);
    return send;
  }

  /** The quarantine that holds back a request; undefined if there is none. */
  find(request: Pick<WatchedRequest, 'service' | 'promptParts' | 'digest'>, now: number) {
    return this.options.ledger.find(request.service, subjectsOf(request), now);
  }

  /** Applies what another process saw of a crash; returns false if all of it is known. */
  receiveCrash(report: CrashReport, now: number): boolean {
    if (this.options.ledger.knows(report)) return false;
    this.applyCrash(report, now);
    this.reclear(report, now);
    return true;
  }

  /** Applies that engines survive answers on parts, as another process saw. */
  receiveCleared(cleared: ClearedParts, now: number): void {
    cleared.parts.forEach((part) => this.heard.set(partKey(cleared.service, part), now));
    this.logEnded(this.options.ledger.recordCleared(cleared, now));
  }

  /** Applies a quarantine that another process has decided on. */
  adopt(quarantine: Quarantine, now: number): void {
    this.beginAll(this.options.ledger.adopt(quarantine, now));
  }

  remove(send: WatchedSend): void {
    this.sends.delete(send);
  }

  /** Clears a request that an engine answers, and the parts of its prompt, unless the engine has crashed. */
  clear(request: WatchedRequest, now: number): void {
    const { ledger, publishCleared, onEnd } = this.options;
    const { service, endpoint, bornAt } = request;
    const parts = [...subjectsOf(request)];
    const isUncertain =
      ledger.hasCrashed(endpoint, bornAt) || this.examinations.has(startKey(request));
    if (isUncertain) return;
    const suspected = ledger.suspected(service, parts, now);
    const ended = ledger.recordCleared({ service, parts }, now);
    this.logEnded(ended);
    ended.forEach((quarantine) => onEnd?.(quarantine));
    if (suspected.length > 0) publishCleared({ service, parts: suspected });
  }

  /** Clears a request with a short answer once a crash after it would be known. */
  clearLater(request: WatchedRequest): void {
    const { clock } = this.options;
    clock
      .sleep(clearAfterMs)
      .then(() => this.clear(request, clock.now()))
      .catch(() => {});
  }

  /**
   * Examines a break; returns whether the engine has ended and this request is a likely reason: it was at
   * another crash, or the engine had just begun to answer it. With an event, a prompt whose parts engines
   * have answered lately is no likely reason.
   */
  async examine({ request, hasBegun, hasEvent }: WatchedSend, now: number): Promise<boolean> {
    const { ledger } = this.options;
    const { service, digest: prompt } = request;
    const parts = ledger.uncleared(service, subjectsOf(request), now);
    if (parts.length === 0) return false;
    const wasSuspected =
      this.isExamined(request) ||
      ledger.suspected(service, [requestSubject(request)], now).length > 0;
    const examination = this.examination(request);
    examination.suspects.set(prompt, { prompt, parts, hasBegun, hasEvent });
    const hasUnclearedParts = parts.some((part) => !isRequestSubject(part));
    const isLikely = wasSuspected || (hasBegun && (!hasEvent || hasUnclearedParts));
    if (!isLikely) return false;
    return (await examination.state) === EngineState.ended;
  }

  /** Whether a break of another engine is being examined for which the request may be the reason. */
  private isExamined(request: WatchedRequest): boolean {
    return [...this.examinations].some(
      ([key, { suspects }]) => key !== startKey(request) && suspects.has(request.digest),
    );
  }

  private examination(request: WatchedRequest): Examination {
    const key = startKey(request);
    const known = this.examinations.get(key);
    if (known !== undefined) return known;
    const suspects = new Map<string, Suspect>();
    const state = this.conclude(request, suspects).finally(() => this.examinations.delete(key));
    const examination = { suspects, state };
    this.examinations.set(key, examination);
    return examination;
  }

  private async conclude(
    request: WatchedRequest,
    suspects: ReadonlyMap<string, Suspect>,
  ): Promise<EngineState> {
    const { clock, probe, publishCrash, telemetry } = this.options;
    await clock.sleep(gatherMs);
    const state = await probe(request);
    const { service, endpoint, bornAt } = request;
    if (state !== EngineState.ended) {
      telemetry.log('engine.break', { endpoint, bornAt, state, suspects: suspects.size });
      return state;
    }
    const likelyFirst = [...suspects.values()].sort(
      (a, b) => Number(b.hasBegun) - Number(a.hasBegun) || Number(a.hasEvent) - Number(b.hasEvent),
    );
    const report = { service, endpoint, bornAt, suspects: likelyFirst.slice(0, maxSuspects) };
    this.reported.set(startKey(request), true);
    this.applyCrash(report, clock.now());
    publishCrash(report);
    return state;
  }

  private applyCrash(report: CrashReport, now: number): void {
    const { ledger, telemetry, onBegin } = this.options;
    const { service, endpoint, bornAt, suspects } = report;
    telemetry.count('currantdrift_engine_crash_reports_total');
    telemetry.log('engine.crash', {
      service,
      endpoint,
      bornAt,
      suspects: suspects.map(describeSuspect).join('; '),
    });
    const begun = ledger.recordCrash(report, now);
    this.beginAll(begun);
    begun.forEach((quarantine) => {
      const isOwn = quarantine.crashes.some((crash) => this.reported.get(crash) !== undefined);
      onBegin?.(quarantine, isOwn);
    });
  }

  private beginAll(begun: readonly Quarantine[]): void {
    if (begun.length === 0) return;
    const { telemetry } = this.options;
    begun.forEach(({ service, parts, crashes }) => {
      telemetry.count('currantdrift_quarantines_total');
      telemetry.log('quarantine.begin', {
        service,
        parts: parts.join(' '),
        crashes: crashes.join(' '),
      });
    });
    this.cancelWaiting();
  }

  /** Cancels the sends that engines have not begun to answer, before they crash more engines. */
  private cancelWaiting(): void {
    const now = this.options.clock.now();
    [...this.sends]
      .filter(({ hasBegun, request }) => !hasBegun && this.find(request, now) !== undefined)
      .forEach((send) => send.cancel(new Error('the request is held back: it crashes engines')));
  }

  /**
   * Answers a report with the parts that this process knows to be sound. All members may know it, so each
   * waits for a random time, and says nothing if it has heard the same.
   */
  private reclear({ service, suspects }: CrashReport, now: number): void {
    const { ledger } = this.options;
    const parts = [...new Set(suspects.flatMap((one) => one.parts))];
    const uncleared = new Set(ledger.uncleared(service, parts, now));
    const known = parts.filter((part) => !uncleared.has(part)).slice(0, maxParts);
    if (known.length === 0) return;
    this.publishKnown({ service, parts: known }).catch(() => {});
  }

  private async publishKnown({ service, parts }: ClearedParts): Promise<void> {
    const { clock, random, members, publishCleared } = this.options;
    const spreadMs = Math.max(minClearSpreadMs, clearSpreadPerMemberMs * members());
    const from = clock.now();
    await clock.sleep(random.next() * spreadMs);
    const unheard = parts.filter(
      (part) => (this.heard.get(partKey(service, part)) ?? -Infinity) < from,
    );
    if (unheard.length > 0) publishCleared({ service, parts: unheard });
  }

  private logEnded(ended: readonly Quarantine[]): void {
    ended.forEach(({ service, parts, crashes }) =>
      this.options.telemetry.log('quarantine.end', {
        service,
        parts: parts.join(' '),
        crashes: crashes.join(' '),
      }),
    );
  }
}
