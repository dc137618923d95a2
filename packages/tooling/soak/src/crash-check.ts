import { CauseKind, type EngineCrash } from './observations';
import type { Violation } from './violation';

/** Crashes by one cause after which processes must hold back its requests. */
const freeCrashes: Readonly<Record<CauseKind, number>> = { part: 5, request: 3 };

const ruleNames: Readonly<Record<CauseKind, string>> = {
  part: 'crashing prompt part',
  request: 'crashing request',
};

/** Requests of the cause that may reach engines after that. */
const maxLateArrivals = 3;

/** Sound requests from which their share is judged. */
const minSoundRequests = 20;

/** Share of the sound requests that must begin. */
const minBegunShare = 0.5;

/** A request that crashes engines and reached one. */
export interface CrashingArrival {
  readonly at: number;
  readonly cause: string;
  readonly endpoint: string;
}

/** A sound request beside crashing ones. */
export interface SoundRequest {
  readonly sentAt: number;
  readonly hasBegun: boolean;
}

/** Requests that crash engines by one cause. */
export interface CrashingRequests {
  readonly kind: CauseKind;
  readonly cause: string;
  /** Time until which clients send such requests, in ms. */
  readonly to: number;
}

const groupByCause = (crashes: readonly EngineCrash[]): Map<string, EngineCrash[]> => {
  const groups = new Map<string, EngineCrash[]>();
  crashes.forEach((crash) => groups.set(crash.cause, [...(groups.get(crash.cause) ?? []), crash]));
  return groups;
};

const describe = (kind: CauseKind, cause: string): string =>
  kind === CauseKind.part ? `with part ${cause}` : `like ${cause}`;

/** Requests that reach engines though their cause has crashed enough of them. */
export const repeatedCrashViolations = (
  crashes: readonly EngineCrash[],
  arrivals: readonly CrashingArrival[],
  contactMs: number,
): Violation[] =>
  [...groupByCause(crashes)].flatMap(([cause, ofCause]) => {
    const [{ kind }] = ofCause;
    const deciding = ofCause[freeCrashes[kind] - 1];
    if (deciding === undefined) return [];
    const boundAt = deciding.at + contactMs;
    const late = arrivals.filter((arrival) => arrival.cause === cause && arrival.at > boundAt);
    if (late.length <= maxLateArrivals) return [];
    const what = describe(kind, cause);
    const text = `${late.length} requests ${what} reached engines after ${ofCause.length} crashes`;
    return [{ at: late[maxLateArrivals].at, rule: ruleNames[kind], text }];
  });

/** Sound requests that are refused or fail beside those that crash engines. */
export const lostSoundViolations = (
  causes: readonly CrashingRequests[],
  crashes: readonly EngineCrash[],
  requests: readonly SoundRequest[],
  contactMs: number,
): Violation[] =>
  causes.flatMap(({ kind, cause, to }) => {
    const ofCause = crashes.filter((crash) => crash.cause === cause);
    const last = ofCause[Math.min(freeCrashes[kind], ofCause.length) - 1];
    if (last === undefined) return [];
    const from = last.at + 2 * contactMs;
    const beside = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    const begun = beside.filter(({ hasBegun }) => hasBegun).length;
    if (beside.length < minSoundRequests || begun >= minBegunShare * beside.length) return [];
    const what = kind === CauseKind.part ? `part ${cause}` : `request ${cause}`;
    const text = `${begun} of ${beside.length} sound requests beside ${what} began`;
    return [{ at: to, rule: 'sound beside crashing', text }];
  });
