import { EndpointPace, PaceCause } from './endpoint-pace';
import { FleetAnswers } from './fleet-answers';
import { chanceOfUse } from './fleet-share';
import { OutlierDetector } from './outlier-detector';
import { PrefillRate } from './prefill-rate';
import type { BalancerSettings } from './settings';
import { WorkTimeFactor } from './work-time-factor';
import { ChoiceRate } from './choice-rate';

/** An endpoint that can serve a request. */
export interface Candidate {
  readonly id: string;
  /** Distinguishes successive processes with the same id. */
  readonly bornAt: number;
  readonly slots: number;
  /** Network round trip time, in ms. */
  readonly roundTripMs: number;
}

/** Load that an endpoint reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Time that work takes at the endpoint now, in per cent of the usual; undefined if not stated. */
  readonly workTimePercent?: number;
}

/** How many daemons share an endpoint, and how often one that is opening is to be expected. */
export interface Sharing {
  readonly daemons: number;
  /** Rate of own requests that an endpoint may expect, per ms. */
  readonly expectedPerMs: number;
  /** Time for which a request stays in flight at the other candidates, in ms. */
  readonly holdMs: number;
  /** Mean time to the first byte at the other candidates, in ms; undefined if none has answered. */
  readonly firstByteMs: number | undefined;
}

/** Time for which a reported load is used, in ms. */
const reportedLoadLifetimeMs = 1_000;

/** Weight of a new sample in the mean time to the first byte and in that until the end. */
const sampleWeight = 0.1;

/** Weight of a new sample while the endpoint opens, since its first answers are not like later ones. */
const openingSampleWeight = 0.3;

/** Assumed time to the first byte of an endpoint that has not answered yet, in ms. */
const initialFirstByteMs = 50;

/**
 * Share of the mean time to the first byte that each running request adds, and its minimum in ms.
 */
const runningRequestShare = 0.1;
const minRunningRequestMs = 12;

/** Ratio to the mean from which on a time to the first byte confirms that an endpoint is slow. */
const latenessFactor = 2;

/** Time added to the prediction right after a refusal, in ms; it falls to 0 over as long a time. */
const refusalPenaltyMs = 150;

/** Time for which an endpoint counts as unreachable after a connection failure, in ms. */
const unreachableMs = 1_500;

/** What a daemon knows of one process of an endpoint, and what it predicts from it. */
export class EndpointStats {
  readonly outlier: OutlierDetector;

  readonly pace: EndpointPace;

  inFlight = 0;

  /** Mean time that a request stays in flight, in ms; undefined before the first one has ended. */
  holdMs: number | undefined;

  /** Mean time to the first byte, in ms; undefined before the first answer. */
  firstByteMs: number | undefined;

  /** Prompt tokens of own requests whose first byte has not arrived. */
  unreadTokens = 0;

  private readonly prefill = PrefillRate.create();

  private readonly speed = WorkTimeFactor.create();

  private refusedAt = -Infinity;

  private unreachableAt = -Infinity;

  private reportedLoad: { readonly others: number; readonly at: number } | undefined;

  private readonly fleet = FleetAnswers.create();

  /** Time for which a request stays in flight at other endpoints, in ms. */
  private usualHoldMs: number | undefined;

  /** Time to the first byte at other endpoints, in ms. */
  private usualFirstByteMs: number | undefined;

  private wants: ChoiceRate | undefined;

  private constructor(
    readonly bornAt: number,
    settings: BalancerSettings,
  ) {
    this.outlier = OutlierDetector.create(settings);
    this.pace = EndpointPace.create(settings, settings.initialLimit);
  }

  static create(bornAt: number, settings: BalancerSettings): EndpointStats {
    return new EndpointStats(bornAt, settings);
  }

  isUnreachable(now: number): boolean {
    return now - this.unreachableAt < unreachableMs;
  }

  /** Counts a request that is about to be sent. */
  begin(promptTokens: number): void {
    this.inFlight += 1;
    this.unreadTokens += promptTokens;
  }

  /** Counts prompt tokens as processed. */
  readPrompt(promptTokens: number): void {
    this.unreadTokens -= promptTokens;
  }

  /** Counts a request as ended. */
  end(): void {
    this.inFlight -= 1;
  }

  /** Whether another prompt keeps the unread ones within `maxTokens`. */
  mayTakePrompt(tokens: number, maxTokens: number): boolean {
    return this.unreadTokens === 0 || this.unreadTokens + tokens <= maxTokens;
  }

  /** Predicted time to the first byte of a further request, in ms. */
  predict({ slots, roundTripMs }: Candidate, now: number): number {
    const running = this.inFlight + (this.others(now) ?? 0);
    const excess = Math.max(0, running + 1 - slots);
    const meanMs = this.assumedMeanMs();
    const runningMs = Math.max(minRunningRequestMs, runningRequestShare * meanMs);
    const loadMs = meanMs * (1 + excess / slots) + runningMs * running;
    const sinceRefusal = now - this.refusedAt;
    const penaltyMs = Math.max(0, refusalPenaltyMs - sinceRefusal);
    // An engine processes prompts one after the other, so unread ones delay this request.
    const unreadMs = this.unreadTokens / this.prefill.tokensPerMs;
    return roundTripMs + (loadMs + unreadMs) * this.speed.factor(now) + penaltyMs;
  }

  /** Probability with which a request that would choose the endpoint may use it. */
  chanceOfUse({ daemons, expectedPerMs, holdMs, firstByteMs }: Sharing, now: number): number {
    if (this.pace.cause === undefined) return 1;
    this.wants ??= ChoiceRate.create(expectedPerMs, now);
    this.usualHoldMs = holdMs;
    this.usualFirstByteMs = firstByteMs;
    return chanceOfUse({
      limit: this.pace.limit,
      own: this.inFlight,
      others: this.others(now),
      daemons,
      wantedPerMs: this.wants.record(now),
      holdMs: this.holdMs ?? holdMs,
    });
  }

  /** Lets the endpoint open gradually, from the number of requests that it is known to carry. */
  open(cause: PaceCause, slots: number, carried: number, now: number): void {
    this.pace.open(cause, slots, carried, now);
    this.wants = undefined;
  }

  /** Records that an answer to a prompt of `promptTokens` began; `daemons` share the endpoint. */
  observeFirstByte(
    elapsedMs: number,
    promptTokens: number,
    candidate: Candidate,
    daemons: number,
    now: number,
  ): void {
    const { roundTripMs, slots } = candidate;
    if (this.isSlowed(elapsedMs, now)) this.recover(slots, now);
    const workMs = Math.max(0, elapsedMs - roundTripMs);
    const usualMs = elapsedMs - workMs + workMs / this.speed.factor(now);
    const weight = this.pace.cause === undefined ? sampleWeight : openingSampleWeight;
    this.firstByteMs ??= this.usualFirstByteMs ?? initialFirstByteMs;
    this.firstByteMs += (usualMs - this.firstByteMs) * weight;
    const latencyMs = Math.max(1, elapsedMs - promptTokens / this.prefill.tokensPerMs);
    // The other daemons are assumed to see as many answers as this one.
    const sample = { latencyMs, inFlight: this.inFlight, slots, answers: daemons };
    this.pace.observe(sample, now);
  }

  /** Records the time that the endpoint took for a prompt while it had no other one to process. */
  observePrefill(promptTokens: number, elapsedMs: number, roundTripMs: number, now: number): void {
    const workMs = elapsedMs - roundTripMs - minRunningRequestMs;
    this.prefill.observe(promptTokens, workMs / this.speed.factor(now));
  }

  /** Records the load that the endpoint reported with an answer. */
  observeLoad(
    { running, waiting, workTimePercent }: ReportedLoad,
    slots: number,
    now: number,
  ): void {
    const total = running + waiting;
    this.reportedLoad = { others: Math.max(0, total - this.inFlight), at: now };
    if (workTimePercent !== undefined) this.speed.observe(workTimePercent, now);
    if (this.pace.cause === undefined) return;
    if (waiting > 0) this.pace.reduceForOverload(now);
    else if (!this.speed.isSlow(now))
      this.pace.grow(Math.max(0, running - this.pace.current(slots)));
  }

  /** Records the number of requests in flight at the endpoint, over all daemons. */
  observeFleetLoad(inFlight: number, now: number): void {
    this.reportedLoad = { others: Math.max(0, inFlight - this.inFlight), at: now };
    // While an endpoint recovers, the time that its requests take is not known.
    const isRecovering = this.pace.cause === PaceCause.recovery;
    const holdMs = isRecovering ? undefined : (this.holdMs ?? this.usualHoldMs);
    const answers = this.fleet.observe(inFlight, holdMs, now);
    if (!this.speed.isSlow(now)) this.pace.grow(answers);
  }

  observeEnd(holdMs: number): void {
    this.holdMs ??= holdMs;
    this.holdMs += (holdMs - this.holdMs) * sampleWeight;
  }

  observeRefusal(now: number): void {
    this.refusedAt = now;
    this.pace.reduceForOverload(now);
  }

  observeUnreachable(now: number): void {
    this.unreachableAt = now;
  }

  eject(slots: number, now: number): void {
    this.outlier.eject(now);
    this.open(PaceCause.return, slots, 0, now);
  }

  /** Whether the endpoint reported to be slow and the answer shows it, not just one report. */
  private isSlowed(elapsedMs: number, now: number): boolean {
    const { firstByteMs, speed } = this;
    if (firstByteMs === undefined || !speed.isSlow(now)) return false;
    return elapsedMs > latenessFactor * firstByteMs;
  }

  /** Lets a slow endpoint open again, from the share of its load that its speed allows. */
  private recover(slots: number, now: number): void {
    const { cause } = this.pace;
    if (cause !== undefined && cause !== PaceCause.recovery) return;
    const carried = this.inFlight + (this.others(now) ?? 0);
    this.open(PaceCause.recovery, slots, carried / this.speed.factor(now), now);
  }

  private assumedMeanMs(): number {
    // The pace alone decides how much an opening endpoint gets, so that it goes on answering.
    if (this.pace.cause !== undefined)
      return Math.min(this.firstByteMs ?? Infinity, initialFirstByteMs);
    // An endpoint that opened by its answers to other daemons counts as one like the others.
    return this.firstByteMs ?? this.usualFirstByteMs ?? initialFirstByteMs;
  }

  /** Requests in flight of other daemons; undefined if no recent report is known. */
  private others(now: number): number | undefined {
    const { reportedLoad } = this;
    const isRecent = reportedLoad !== undefined && now - reportedLoad.at < reportedLoadLifetimeMs;
    return isRecent ? reportedLoad.others : undefined;
  }
}
