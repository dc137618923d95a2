import type { Slope } from '../slopes';
import { limits, target } from './target';

/** One line of the table of estimates. */
export interface Estimate {
  readonly what: string;
  readonly value: number;
  readonly unit: string;
  /** Undefined where the design sets none. */
  readonly limit?: number;
  /** Formula in words, with the slopes that go into it. */
  readonly from: string;
}

const find = (slopes: readonly Slope[], name: string): Slope => {
  const slope = slopes.find((each) => each.name === name);
  if (slope === undefined) throw new Error(`slopes.json has no slope "${name}"`);
  return slope;
};

/** Value of the fitted line at a size. */
export const valueAt = (slope: Slope, size: number): number =>
  slope.fit.intercept + slope.fit.slope * size;

const secondsPerDay = 86_400;

/** Reads of the host list each second by a daemon. */
const hostListReads = 0.5;

/** Engines of each daemon in the runs with daemon processes. */
const measuredEngines = 2;

/** Lease renewals each second of a domain. */
const renewals = 0.5;

/** Writes of a wake-up: one for the intent, one for its result. */
const writesPerWake = 2;

/** Everything that is computed from the slopes, at the target size. */
export const estimatesOf = (slopes: readonly Slope[]): readonly Estimate[] => {
  const at = (name: string, size: number) => valueAt(find(slopes, name), size);
  const slope = (name: string) => find(slopes, name).fit.slope;
  const peers = target.daemonsPerDomain;
  const changes = target.stateChanges / target.domains;
  const moreEngines = target.enginesPerDaemon - measuredEngines;
  const reports = (engines: number) => (slope('CPU of load reports') * engines) / 1e4;
  const deltaCpu = at('CPU of a bundle delta', target.adapters);
  const controlCpu =
    at('CPU, idle', peers) +
    reports(moreEngines) +
    (changes * at('CPU of a state change', target.enginesPerDomain)) / 1e4 +
    deltaCpu / target.bundleSeconds / 1e4;
  const hostListBytes =
    hostListReads * at('bytes of an unchanged host list', target.hosts) +
    (target.hostListChangesPerDay / secondsPerDay) * at('bytes of one changed host', target.hosts);
  const relayBytes =
    at('control bytes sent for a bundle, most loaded daemon', peers) / target.bundleSeconds;
  // A difference of two short windows: its noise exceeds it, so the highest value bounds it.
  const bundleBytes =
    Math.max(...find(slopes, 'control bytes of a bundle').values) / target.bundleSeconds;
  const changingBytes = at('control bytes with changing loads', peers);
  const stateBytes =
    at('memory per adapter', target.adapters) +
    at('memory per endpoint', target.enginesPerDomain) +
    slope('memory per peer') * peers;
  const perBundle = slope('store calls of bundles');
  const storeCalls =
    at('store calls of a domain, idle', peers) * target.domains +
    slope('store calls of wake-ups') * target.stateChanges +
    (perBundle * target.domains) / target.bundleSeconds;
  const writes = renewals * target.domains + writesPerWake * target.stateChanges;
  const wholeList = at('bytes of the whole host list', target.hosts);
  const scopedList = at('bytes of the host list of one domain', target.hosts);
  const wholeBundle = at('bytes of a whole bundle', target.adapters);
  const delta = at('bytes of a bundle delta', target.adapters);
  const deltasOfCut = 600 / target.bundleSeconds;
  const request = find(slopes, 'CPU of a request');
  return [
    {
      what: 'Every daemon: processor time for control',
      value: controlCpu,
      unit: '% of a core',
      limit: limits.cpuPercent,
      from: 'CPU, idle at 38 daemons + reports of 7.4 more engines + state changes + one delta each 35 s',
    },
    {
      what: 'Every daemon: control bytes between daemons, 10 engines with changing loads',
      value: changingBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'fit at 38 members, in-process; sent and received',
    },
    {
      what: 'Every daemon: all control bytes together',
      value: changingBytes + bundleBytes + hostListBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'changing loads + bundles + host list; sent and received',
    },
    {
      what: 'Bundle relay: all control bytes together',
      value: changingBytes + relayBytes + hostListBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'changing loads + bytes sent for a bundle by the most loaded daemon + host list',
    },
    {
      what: 'Bundle relay: bundles, part of the control bytes',
      value: relayBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'bytes sent for a bundle by the most loaded daemon at 38 daemons, each 35 s',
    },
    {
      what: 'Every daemon: control bytes between daemons, idle',
      value: at('control bytes, idle', peers),
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'fit at 38 daemons; sent and received',
    },
    {
      what: 'Every daemon: control bytes between daemons with 12 times the expected state changes',
      value: at('control bytes, active', peers),
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'fit at 38 daemons with 0.8 wake-ups/s in one domain; sent and received',
    },
    {
      what: 'Every daemon: bundles, part of the control bytes',
      value: bundleBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'highest measured control bytes of a bundle, each 35 s',
    },
    {
      what: 'Every daemon: host list',
      value: hostListBytes,
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'an unchanged read each 2 s and 1,392 changes a day',
    },
    {
      what: 'Every daemon: memory of control state',
      value: stateBytes / 1e6,
      unit: 'MB',
      limit: limits.memoryMb,
      from: 'bundle of 480 models and 26,000 adapters + 358 endpoints + 38 peers',
    },
    {
      what: 'Every daemon: resident set of the whole process, runtime included',
      value: at('resident memory, idle', peers) + stateBytes / 1e6,
      unit: 'MB',
      limit: limits.memoryMb,
      from: 'resident memory, idle at 38 daemons + control state',
    },
    {
      what: 'Watcher: processor time for its endpoints',
      value: reports(target.enginesPerDaemon),
      unit: '% of a core',
      limit: limits.cpuPercent,
      from: '9.4 reports/s at the slope of load reports',
    },
    {
      what: 'Most loaded daemon (controller, relay): processor time',
      value: at('CPU, most loaded daemon, active', peers) + reports(moreEngines),
      unit: '% of a core',
      limit: limits.cpuPercent,
      from: 'fit at 38 daemons with 0.8 wake-ups/s in one domain + reports of 7.4 more engines',
    },
    {
      what: 'Most loaded daemon: control bytes sent',
      value: at('control bytes sent, most loaded daemon, active', peers),
      unit: 'bytes/s',
      limit: limits.bytesPerSecond,
      from: 'fit at 38 daemons with 0.8 wake-ups/s in one domain; sent only',
    },
    {
      what: 'Entry: processor time for requests and tokens (not control)',
      value:
        (request.fit.slope * target.tokensPerDaemon +
          request.fit.intercept * target.requestsPerDaemon) /
        1e4,
      unit: '% of a core',
      from: '30,400 tokens/s and 74 requests/s at the fit of the CPU of a request',
    },
    {
      what: 'Store: calls of all domains, watches counted',
      value: storeCalls,
      unit: 'calls/s',
      limit: limits.storeReads,
      from: '12 idle domains + 0.8 wake-ups/s + a bundle each 35 s, as if each domain cost a whole rollout',
    },
    {
      what: 'Store: writes without bookings',
      value: writes,
      unit: 'writes/s',
      limit: limits.storeWrites,
      from: '12 leases renewed each 2 s + 2 writes for each of 0.8 wake-ups/s',
    },
    {
      what: 'Host list: bytes served to all daemons',
      value: hostListBytes * target.daemons,
      unit: 'bytes/s',
      from: '460 daemons',
    },
    {
      what: 'Domain starts at once: host list, read by domain',
      value: (scopedList * peers) / 1e6,
      unit: 'MB',
      from: '38 first reads',
    },
    {
      what: 'Domain starts at once: host list, read whole',
      value: (wholeList * peers) / 1e6,
      unit: 'MB',
      from: '38 first reads',
    },
    {
      what: 'Domain starts at once: host list over a region link, read by domain',
      value: (scopedList * peers) / target.linkBytes,
      unit: 's',
      from: '38 first reads at 20 Mbit/s',
    },
    {
      what: 'Domain starts at once: whole bundles',
      value: (wholeBundle * peers) / 1e6,
      unit: 'MB',
      from: '38 whole bundles',
    },
    {
      what: 'Domain starts at once: processor time of one daemon for its bundle',
      value: at('CPU of a whole bundle', target.adapters) / 1e6,
      unit: 's',
      from: 'fit at 26,000 adapters',
    },
    {
      what: 'Rack of 10% of a domain lost: processor time of each other daemon',
      value: (36 * 2 * at('CPU of a state change', target.enginesPerDomain)) / 1e3,
      unit: 'ms',
      from: '36 engines, each unreachable and then removed',
    },
    {
      what: 'Region link cut for 10 minutes, then healed: deltas to each relay',
      value: (deltasOfCut * delta) / 1e3,
      unit: 'KB',
      from: '17 versions at one delta each',
    },
    {
      what: 'Bundle: time to the last of 38 daemons of one domain',
      value: at('time to the last daemon of a bundle', peers) / 1e3,
      unit: 's',
      limit: target.bundleLimitSeconds,
      from: 'fit at 38 daemons',
    },
    {
      what: 'Bundle: processor time of each daemon for its delta',
      value: deltaCpu / 1e3,
      unit: 'ms',
      from: 'fit at 26,000 adapters',
    },
    {
      what: 'Bundle: deltas sent by one relay if all 37 others ask it',
      value: ((peers - 1) * delta) / 1e3,
      unit: 'KB',
      from: '37 deltas without message overhead',
    },
  ];
};
