import { type Clock, SystemRandom, type Telemetry } from '@currantdrift/core';
import type { EndpointDirectory } from '@currantdrift/fleet';
import { AdmissionControl, defaultForwardSettings, RetrySpread } from '@currantdrift/forward';
import type { Configuration } from '@currantdrift/routes';
import { type EndpointLoad, EndpointRooms, PredictiveBalancer } from '@currantdrift/routing';
import { PaceTelemetry } from './pace-telemetry';

/** Interval at which routing state of removed endpoints is dropped, in ms. */
const pruneIntervalMs = 1_000;

export interface EndpointChoiceOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  /** Returns the number of members that choose among the same endpoints. */
  readonly members: () => number;
  readonly configuration: () => Configuration | undefined;
  /** Whether the settings ask for admission control. */
  readonly queuesWhenFull: boolean;
}

/** The components of a process that decide which endpoint gets a request, and when. */
export class EndpointChoice {
  readonly balancer: PredictiveBalancer;

  readonly admission: AdmissionControl;

  readonly retrySpread: RetrySpread;

  private readonly rooms: EndpointRooms;

  private constructor(private readonly options: EndpointChoiceOptions) {
    const { telemetry, members } = options;
    const random = SystemRandom.create();
    const observer = PaceTelemetry.create(telemetry);
    this.balancer = PredictiveBalancer.create(random, members, {}, observer);
    this.rooms = EndpointRooms.create(members);
    this.retrySpread = RetrySpread.create(defaultForwardSettings, random);
    const { rooms, retrySpread } = this;
    this.admission = AdmissionControl.create({ ...options, rooms, retrySpread });
  }

  static create(options: EndpointChoiceOptions): EndpointChoice {
    return new EndpointChoice(options);
  }

  /** Records the numbers of requests in flight at endpoints, over all members. */
  observeFleetLoads(loads: readonly EndpointLoad[]): void {
    const now = this.options.clock.now();
    this.balancer.observeFleetLoads(loads, now);
    this.admission.observeFleetLoads(loads, now);
  }

  /** Follows which endpoints exist until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.options;
    while (!signal.aborted) {
      await clock.sleep(pruneIntervalMs, signal);
      const records = directory.all();
      const present = new Set(records.map(({ id }) => id));
      const now = clock.now();
      this.balancer.observeEndpoints(records, now);
      this.rooms.retain(present);
      directory.limits.retain(present, now);
    }
  }
}
