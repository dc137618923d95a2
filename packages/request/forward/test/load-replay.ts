import { NoopTelemetry, SeededRandom } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { EndpointRooms, PredictiveBalancer, type Reservation } from '@currantdrift/routing';
import {
  AdmissionControl,
  defaultForwardSettings,
  RequestTimes,
  RetrySpread,
  type RoomLevel,
} from '../src';
import type { ClientRequest } from '../src/client-request';

/** Requests of one customer and priority that arrive at random intervals. */
export interface Demand {
  readonly customer: string;
  /** Under which its requests are counted. */
  readonly name: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
  readonly priority: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

export interface ReplaySettings {
  readonly demands: readonly Demand[];
  readonly isAdmitted: boolean;
  readonly members: number;
  readonly engines: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Time between two announcements of the loads to the members, in ms; undefined for none. */
  readonly announceMs?: number;
  /** Time at which the loads are announced and reported for the last time, in ms. */
  readonly reportsEndMs?: number;
  /** Time at which the last engine ends, with all that it runs and holds, in ms. */
  readonly crashMs?: number;
}

/** How the requests of one demand ended. */
export interface Tally {
  onTime: number;
  late: number;
  refused: number;
  expired: number;
}

/** Time from the start of a request at an engine to its first byte, in ms. */
const prefillMs = 40;

interface EngineJob {
  readonly priority: number;
  readonly onFirstByte: () => void;
  readonly onEnd: () => void;
  isCancelled: boolean;
}

/** Runs as many requests as it has slots; the others wait in order of priority. */
class Engine {
  running = 0;

  hasEnded = false;

  readonly waiting: EngineJob[] = [];

  constructor(
    readonly id: string,
    private readonly settings: ReplaySettings,
    private readonly clock: VirtualClock,
  ) {}

  submit(job: EngineJob): void {
    const index = this.waiting.findIndex(({ priority }) => priority > job.priority);
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, job);
    this.startNext();
  }

  private startNext(): void {
    if (this.running >= this.settings.slots) return;
    const job = this.waiting.shift();
    if (job === undefined) return;
    if (job.isCancelled) {
      this.startNext();
      return;
    }
    this.running += 1;
    this.run(job).catch(() => {});
  }

  private async run(job: EngineJob): Promise<void> {
    await this.clock.sleep(prefillMs);
    if (this.hasEnded) return;
    job.onFirstByte();
    await this.clock.sleep(this.settings.serviceMs - prefillMs);
    if (this.hasEnded) return;
    this.running -= 1;
    job.onEnd();
    this.startNext();
  }
}

/** Replays demands against engines through members with the decisions under test. */
export class LoadReplay {
  private readonly clock = VirtualClock.create();

  private readonly directory = EndpointDirectory.create();

  private readonly engines: Engine[];

  private readonly members;

  private readonly tallies = new Map<string, Tally>();

  private constructor(private readonly settings: ReplaySettings) {
    this.engines = Array.from(
      { length: settings.engines },
      (_, index) => new Engine(`e${index}`, settings, this.clock),
    );
    this.engines.forEach(({ id }) =>
      this.directory.put({ ...endpointRecord({ id, service: 's' }), slots: settings.slots }),
    );
    this.members = Array.from({ length: settings.members }, (_, index) => this.member(index));
  }

  /** Returns how the requests of each demand ended. */
  static async run(settings: ReplaySettings): Promise<Record<string, Tally>> {
    const replay = new LoadReplay(settings);
    return replay.play();
  }

  private async play(): Promise<Record<string, Tally>> {
    const served = this.settings.demands.map((demand) => this.send(demand));
    const announced = this.announce();
    const crashed = this.crash();
    await this.clock.settle(Promise.all([...served, announced, crashed]), 50);
    return Object.fromEntries(this.tallies);
  }

  private member(index: number) {
    const { clock, directory } = this;
    const random = SeededRandom.create(index);
    const members = () => this.settings.members;
    const control = AdmissionControl.create({
      clock,
      telemetry: NoopTelemetry.create(),
      directory,
      rooms: EndpointRooms.create(members),
      retrySpread: RetrySpread.create(defaultForwardSettings, random),
      configuration: () => undefined,
      queuesWhenFull: true,
    });
    return { control, balancer: PredictiveBalancer.create(random, members) };
  }

  private async announce(): Promise<void> {
    const { announceMs, reportsEndMs = Infinity } = this.settings;
    const endsAt = Math.min(reportsEndMs, ...this.settings.demands.map(({ toMs }) => toMs));
    while (announceMs !== undefined && this.clock.now() < endsAt) {
      await this.clock.sleep(announceMs);
      const loads = this.engines.map(({ id, running, waiting }) => ({
        endpoint: id,
        inFlight: running + waiting.length,
      }));
      this.members.forEach(({ control, balancer }) => {
        balancer.observeFleetLoads(loads, this.clock.now());
        control.observeFleetLoads(loads, this.clock.now());
      });
    }
  }

  private async crash(): Promise<void> {
    const { crashMs } = this.settings;
    if (crashMs === undefined) return;
    await this.clock.sleep(crashMs);
    const engine = this.engines[this.engines.length - 1];
    engine.hasEnded = true;
    this.directory.remove(engine.id);
  }

  private async send(demand: Demand): Promise<void> {
    const tally: Tally = { onTime: 0, late: 0, refused: 0, expired: 0 };
    this.tallies.set(demand.name, { ...tally, ...this.tallies.get(demand.name) });
    await this.clock.sleep(demand.fromMs);
    const random = SeededRandom.create(this.settings.demands.indexOf(demand));
    const served: Promise<void>[] = [];
    while (this.clock.now() < demand.toMs) {
      const member = this.members[Math.floor(random.next() * this.members.length)];
      served.push(this.serve(demand, member));
      await this.clock.sleep((-Math.log(1 - random.next()) * 1_000) / demand.perSecond);
    }
    await Promise.all(served);
  }

  private async serve(demand: Demand, member: ReturnType<LoadReplay['member']>): Promise<void> {
    const now = this.clock.now();
    const found = await this.reserve(member, demand, now);
    const tally = this.tallies.get(demand.name);
    if (tally === undefined) return;
    if (found === undefined) tally.refused += 1;
    else {
      const firstByteMs = await this.runAt(found, demand, now);
      if (firstByteMs === undefined) tally.expired += 1;
      else if (firstByteMs > demand.targetMs) tally.late += 1;
      else tally.onTime += 1;
    }
  }

  private async reserve(
    { control, balancer }: ReturnType<LoadReplay['member']>,
    demand: Demand,
    now: number,
  ): Promise<Reservation | undefined> {
    const request = LoadReplay.request(demand, now);
    const need = (at: number) => control.demandOf(request, Infinity, at);
    const place = (at: number, level?: RoomLevel) => {
      const live = this.directory.live('s');
      const records = level === undefined ? live : control.withRoom(live, need(at), level, at);
      const candidates = records.map((record) => ({ ...record, roundTripMs: 1 }));
      return balancer.reserve(candidates, 0, Infinity, at);
    };
    if (!this.settings.isAdmitted) return place(now);
    const attempt = (at: number, level: RoomLevel) => {
      const reserved = place(at, level);
      const record = reserved && this.directory.get(reserved.endpoint);
      return reserved === undefined || record === undefined
        ? undefined
        : {
            kind: 'selected' as const,
            record,
            place: control.hold(record, need(at), reserved),
            candidates: 1,
          };
    };
    const found = await control.admit(request, attempt, false, []);
    return found?.kind === 'selected' ? found.place : undefined;
  }

  /** Time from the arrival to the first byte in ms; undefined if it does not come before the deadline. */
  private runAt(
    place: Reservation,
    demand: Demand,
    arrivedAt: number,
  ): Promise<number | undefined> {
    const engine = this.engines.find(({ id }) => id === place.endpoint);
    const sentAt = this.clock.now();
    return new Promise((resolve) => {
      const job: EngineJob = {
        priority: demand.priority,
        isCancelled: false,
        onFirstByte: () => {
          const now = this.clock.now();
          if (now < (this.settings.reportsEndMs ?? Infinity)) {
            const running = engine?.running ?? 0;
            place.observeLoad({ running, waiting: engine?.waiting.length ?? 0 }, now);
          }
          place.observeFirstByte(now - sentAt, now);
          resolve(now - arrivedAt);
        },
        onEnd: () => place.release('served', this.clock.now()),
      };
      engine?.submit(job);
      this.clock
        .sleep(arrivedAt + demand.deadlineMs - sentAt)
        .then(() => {
          if (engine?.hasEnded === false && !engine.waiting.includes(job)) return;
          job.isCancelled = true;
          place.release('failed', this.clock.now());
          resolve(undefined);
        })
        .catch(() => {});
    });
  }

  private static request(demand: Demand, now: number): ClientRequest {
    const { customer: name, priority, targetMs, deadlineMs } = demand;
    const request = {
      service: 's',
      fields: { model: undefined, promptTokens: 0, maxNewTokens: 0 },
      route: { firstByteTargetMs: targetMs },
      authorized: { customer: { name } },
      priority,
      arrivedAt: now,
      deadline: now + deadlineMs,
      firstByteDeadline: now + deadlineMs,
      times: RequestTimes.create(now),
    };
    return request as unknown as ClientRequest;
  }
}
