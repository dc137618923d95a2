import { type Clock, NoopTelemetry, SeededRandom } from '@currantdrift/core';
import { endpointRecord } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import {
  AdmissionControl,
  type ClientRequest,
  defaultForwardSettings,
  RequestTimes,
  RetrySpread,
  type RoomLevel,
  type SelectedEndpoint,
} from '@currantdrift/forward';
import { EndpointRooms, PredictiveBalancer } from '@currantdrift/routing';

const members = 300;
const endpoints = 100;
const slots = 12;
const waitingRequests = 9_900;
const customers = 16;

/** Models, each of them on three endpoints, and priorities. */
const models = 100;
const replicas = 3;
const priorities = 3;

const warmUpRequests = 2_000;
const measuredRequests = 10_000;

/** Time between two measured requests and between two announcements of the loads, in ms. */
const arrivalIntervalMs = 1;
const announceIntervalMs = 100;

/** Processor time of admission control and selection. */
export interface AdmissionCost {
  readonly waiting: number;
  readonly running: number;
  readonly members: number;
  readonly endpoints: number;
  readonly microsecondsPerRequest: number;
}

/** One process with full endpoints, thousands of waiting requests and a clock that is set. */
class FullFleet {
  private now = 0;

  private readonly directory = EndpointDirectory.create();

  private readonly random = SeededRandom.create(1);

  private readonly balancer = PredictiveBalancer.create(this.random, () => members);

  private readonly running: SelectedEndpoint[] = [];

  private readonly control: AdmissionControl;

  private sent = 0;

  private constructor() {
    const clock: Clock = { now: () => this.now, sleep: () => new Promise(() => {}) };
    Array.from({ length: endpoints }, (_, index) => this.addEndpoint(index));
    this.control = AdmissionControl.create({
      clock,
      telemetry: NoopTelemetry.create(),
      directory: this.directory,
      rooms: EndpointRooms.create(() => members),
      retrySpread: RetrySpread.create(defaultForwardSettings, this.random),
      configuration: () => undefined,
      queuesWhenFull: true,
    });
  }

  static create(): FullFleet {
    const fleet = new FullFleet();
    fleet.announce();
    return fleet;
  }

  get runningRequests(): number {
    return this.running.length;
  }

  get waitingRequests(): number {
    return this.control.waitingRequests;
  }

  /** Lets a request arrive and, if any runs, one end. */
  step(): void {
    this.now += arrivalIntervalMs;
    if (this.now % announceIntervalMs < arrivalIntervalMs) this.announce();
    this.arrive();
    this.running.shift()?.place.release('served', this.now);
  }

  arrive(): void {
    const request = this.request();
    const attempt = (at: number, level: RoomLevel) => this.reserve(request, at, level);
    this.control
      .admit(request, attempt, false, [])
      .then((found) => {
        if (found?.kind === 'selected') this.running.push(found);
      })
      .catch(() => {});
  }

  private announce(): void {
    const loads = this.directory
      .all()
      .map(({ id }) => ({ endpoint: id, inFlight: this.balancer.inFlight(id) }));
    this.balancer.observeFleetLoads(loads, this.now);
    this.control.observeFleetLoads(loads, this.now);
  }

  private reserve(
    request: ClientRequest,
    now: number,
    level: RoomLevel,
  ): SelectedEndpoint | undefined {
    const { service, fields } = request;
    const demand = this.control.demandOf(request, Infinity, now);
    const holders = this.directory.replicas(service, fields.model ?? '', undefined, now);
    const records = this.control.withRoom(holders, demand, level, now);
    if (records.length === 0) return undefined;
    const candidates = records.map((record) => ({ ...record, roundTripMs: 1 }));
    const place = this.balancer.reserve(candidates, fields.promptTokens, Infinity, now);
    const record = place && this.directory.get(place.endpoint);
    if (place === undefined || record === undefined) return undefined;
    const held = this.control.hold(record, demand, place);
    return { kind: 'selected', record, place: held, candidates: candidates.length };
  }

  private addEndpoint(index: number): void {
    const names = Array.from({ length: replicas }, (_, copy) => (index + copy) % models);
    const held = names.map((name) => ({ name: `m${name}`, adapters: [] }));
    const id = `e${index}`;
    this.directory.put({ ...endpointRecord({ id, service: 's', models: held }), slots });
  }

  /** A request with the fields that admission control reads. */
  private request(): ClientRequest {
    this.sent += 1;
    const deadline = this.now + 1_000_000;
    const request = {
      service: 's',
      fields: { model: `m${this.sent % models}`, promptTokens: 600, maxNewTokens: 200 },
      route: { firstByteTargetMs: 1_000 + (this.sent % 7) * 500 },
      authorized: { customer: { name: `c${this.sent % customers}` } },
      priority: this.sent % priorities,
      arrivedAt: this.now,
      deadline,
      firstByteDeadline: deadline,
      times: RequestTimes.create(this.now),
    };
    return request as unknown as ClientRequest;
  }
}

const run = async (fleet: FullFleet, requests: number): Promise<void> => {
  for (let step = 0; step < requests; step += 1) {
    fleet.step();
    await Promise.resolve();
  }
};

/** Measures arrivals and ends of requests while thousands wait for full endpoints. */
export const measureAdmission = async (): Promise<AdmissionCost> => {
  const fleet = FullFleet.create();
  while (fleet.waitingRequests < waitingRequests) {
    fleet.arrive();
    await Promise.resolve();
  }
  await run(fleet, warmUpRequests);
  const start = process.cpuUsage();
  await run(fleet, measuredRequests);
  const { user, system } = process.cpuUsage(start);
  return {
    waiting: fleet.waitingRequests,
    members,
    endpoints,
    running: fleet.runningRequests,
    microsecondsPerRequest: Math.round((user + system) / measuredRequests),
  };
};
