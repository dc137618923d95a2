import type { EngineCrash } from './observations';
import type { Violation } from './violation';

/** Crashes by one prompt part after which processes must hold back requests with it. */
const freeCrashes = 5;

/** Requests with the part that may reach engines after that. */
const maxLateArrivals = 3;

/** Sound requests from which their share is judged. */
const minSoundRequests = 20;

/** Share of the sound requests that must begin. */
const minBegunShare = 0.5;

/** A request with a crashing part that reached an engine. */
export interface CrashingArrival {
  readonly at: number;
  readonly part: string;
  readonly endpoint: string;
}

/** A sound request beside crashing ones. */
export interface SoundRequest {
  readonly sentAt: number;
  readonly hasBegun: boolean;
}

/** Requests with a prompt part that crashes engines. */
export interface CrashingPart {
  readonly part: string;
  /** Time until which clients send such requests, in ms. */
  readonly to: number;
}

const groupByPart = (crashes: readonly EngineCrash[]): Map<string, EngineCrash[]> => {
  const groups = new Map<string, EngineCrash[]>();
  crashes.forEach((crash) => groups.set(crash.part, [...(groups.get(crash.part) ?? []), crash]));
  return groups;
};

/** Requests with a part that reach engines though it has crashed enough of them. */
export const repeatedCrashViolations = (
  crashes: readonly EngineCrash[],
  arrivals: readonly CrashingArrival[],
  contactMs: number,
): Violation[] =>
  [...groupByPart(crashes)].flatMap(([part, ofPart]) => {
    if (ofPart.length < freeCrashes) return [];
    const boundAt = ofPart[freeCrashes - 1].at + contactMs;
    const late = arrivals.filter((arrival) => arrival.part === part && arrival.at > boundAt);
    if (late.length <= maxLateArrivals) return [];
    const text = `${late.length} requests with part ${part} reached engines after ${ofPart.length} crashes`;
    return [{ at: late[maxLateArrivals].at, rule: 'crashing prompt part', text }];
  });

/** Sound requests that are refused or fail beside those with a crashing part. */
export const lostSoundViolations = (
  parts: readonly CrashingPart[],
  crashes: readonly EngineCrash[],
  requests: readonly SoundRequest[],
  contactMs: number,
): Violation[] =>
  parts.flatMap(({ part, to }) => {
    const ofPart = crashes.filter((crash) => crash.part === part);
    const last = ofPart[Math.min(freeCrashes, ofPart.length) - 1];
    if (last === undefined) return [];
    const from = last.at + 2 * contactMs;
    const beside = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    const begun = beside.filter(({ hasBegun }) => hasBegun).length;
    if (beside.length < minSoundRequests || begun >= minBegunShare * beside.length) return [];
    const text = `${begun} of ${beside.length} sound requests beside part ${part} began`;
    return [{ at: to, rule: 'sound beside crashing', text }];
  });
