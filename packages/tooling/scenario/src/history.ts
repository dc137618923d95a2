import type { EndpointRun } from '@currantdrift/fakes';
import type { Arrival, EngineCrash, Limit } from '@currantdrift/soak';

/** How a request ended as its caller saw it; `closed`: the connection ended without an answer. */
export type RequestOutcome = 'answered' | 'not_run' | 'unknown' | 'closed';

/** A request as its caller saw it. Times are in ms since the epoch. */
export interface RequestRecord {
  readonly id: string;
  readonly daemon: string;
  /** Model or service. */
  readonly item: string;
  readonly startedAt: number;
  readonly deadline: number;
  /** True text of the whole answer. */
  readonly truth: string;
  /** Contents of its messages before the last one. */
  readonly parts: readonly string[];
  /** Content of its last message that other requests share; undefined if none does. */
  readonly question: string | undefined;
  received: string;
  outcome: RequestOutcome | undefined;
  message: string;
  endedAt: number | undefined;
}

/** True contents of an engine's memory after a change. */
export interface EngineSample {
  readonly at: number;
  readonly engine: string;
  readonly usedBytes: number;
  readonly memoryBytes: number;
  readonly items: readonly string[];
}

/** Bundle that callers of a daemon see, from the list of models that they may reach. */
export interface VersionSample {
  readonly at: number;
  readonly daemon: string;
  /** Number of the process; a restarted daemon is another one. */
  readonly process: number;
  readonly version: number;
  readonly label: string;
}

/** Time in which a daemon could not act; `until` is infinite for one that was killed. */
export interface Outage {
  readonly daemon: string;
  readonly from: number;
  until: number;
}

export interface PlannedStop {
  readonly daemon: string;
  readonly at: number;
}

export interface RolloutRecord {
  readonly label: string;
  readonly at: number;
  readonly kind: string;
}

/** What the fakes and the callers saw in a run. The daemons' own state is no part of it. */
export class History {
  readonly requests: RequestRecord[] = [];

  readonly runs: EndpointRun[] = [];

  readonly engines: EngineSample[] = [];

  readonly versions: VersionSample[] = [];

  readonly outages: Outage[] = [];

  readonly stops: PlannedStop[] = [];

  readonly rollouts: RolloutRecord[] = [];

  /** Calls of all kinds that reached endpoints. */
  readonly arrivals: Arrival[] = [];

  /** Limits on their calls that endpoints stated; the last one of each may go on. */
  readonly limits: Limit[] = [];

  /** Crashes of engines by prompts. */
  readonly crashes: EngineCrash[] = [];

  /** Time at which each endpoint began to leave. */
  readonly leaving = new Map<string, number>();

  private readonly lines: string[] = [];

  private constructor(readonly start: number) {}

  /** `start` is the time of 0 s of the scenario. */
  static create(start: number): History {
    return new History(start);
  }

  /** Notable events in order, one line each. */
  get trace(): readonly string[] {
    return this.lines;
  }

  beginLimit(endpoint: string, ratePerS: number, at: number): void {
    const before = this.limits.findLast((limit) => limit.endpoint === endpoint);
    const firstAt = before?.to === at ? before.firstAt : at;
    this.limits.push({ endpoint, ratePerS, firstAt, from: at, to: Infinity });
  }

  endLimit(endpoint: string, at: number): void {
    const index = this.limits.findLastIndex((limit) => limit.endpoint === endpoint);
    const limit = this.limits[index];
    if (limit?.to === Infinity) this.limits[index] = { ...limit, to: at };
  }

  note(at: number, text: string): void {
    this.lines.push(`${((at - this.start) / 1000).toFixed(3)} ${text}`);
  }
}
