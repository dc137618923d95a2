import { type FleetFigures, measureFleet, type WindowFigures } from '../fleet';
import { type Slope, slopeOf } from './slope';

const windowMs = 30_000;
const enginesPerDaemon = 2;
const portsPerFleet = 400;
const firstPort = 27_000;

const wakes = 24;
const bundles = 2;

/** Fleets over whose number of daemons the slopes go; the last one runs alone. */
const fleetSizes = [5, 10, 20, 40];

/** More fleets of 5 daemons, over whose wake-ups and bundles the store calls go. */
const variations = [
  { wakes: 12, bundles: 1 },
  { wakes: 48, bundles: 4 },
];

const sum = (calls: WindowFigures['storeCalls']): number =>
  Object.values(calls).reduce((total, count) => total + count, 0);

/** Store calls of a window above those of as much idle time. */
const above = (idle: WindowFigures, window: WindowFigures): number =>
  Math.max(0, sum(window.storeCalls) - (sum(idle.storeCalls) / idle.seconds) * window.seconds);

const run = (daemons: number, place: number, load: { wakes: number; bundles: number }) =>
  measureFleet({
    daemons,
    engines: daemons * enginesPerDaemon,
    firstPort: firstPort + place * portsPerFleet,
    windowMs,
    ...load,
  });

/** Slopes over the number of daemons of a domain. */
const daemonSlopes = (fleets: readonly FleetFigures[]): readonly Slope[] => {
  const common = {
    per: 'daemons of the domain, 2 engines each',
    sizes: fleets.map(({ daemons }) => daemons),
  };
  const method = 'daemon processes with stand-ins over 127.0.0.1, mean over the daemons';
  const idle = `${method}; idle for 30 s`;
  const active = `${method}; 24 wake-ups in 30 s`;
  const bytes = (each: WindowFigures) => each.controlBytesIn + each.controlBytesOut;
  const slope = (name: string, unit: string, how: string, value: (fleet: FleetFigures) => number) =>
    slopeOf({ ...common, name, unit, method: how, values: fleets.map(value) });
  return [
    slope('control bytes, idle', 'bytes/s, both directions', idle, (each) => bytes(each.idle)),
    slope('control bytes, active', 'bytes/s, both directions', active, (each) =>
      bytes(each.active),
    ),
    slope('CPU, idle', '% of a core', idle, (each) => each.idle.cpuPercent),
    slope('CPU, active', '% of a core', active, (each) => each.active.cpuPercent),
    slope('resident memory, idle', 'MB', idle, (each) => each.idle.residentMb),
    slope(
      'store calls of a domain, idle',
      'calls/s of all daemons together',
      'daemon processes, currantdrift_store_calls_total; idle for 30 s',
      (each) => sum(each.idle.storeCalls) / each.idle.seconds,
    ),
    slope(
      'control bytes sent, most loaded daemon, active',
      'bytes/s',
      'daemon processes with stand-ins over 127.0.0.1, highest of all; 24 wake-ups in 30 s',
      (each) => each.active.maxControlBytesOut,
    ),
    slope(
      'CPU, most loaded daemon, active',
      '% of a core',
      'daemon processes with stand-ins over 127.0.0.1, highest of all; 24 wake-ups in 30 s',
      (each) => each.active.maxCpuPercent,
    ),
    slope(
      'control bytes of a bundle',
      'bytes, both directions',
      `${method}; above the idle rate of the same run, mean of 2 versions`,
      (each) =>
        Math.max(0, (bytes(each.rollouts) - bytes(each.idle)) * each.rollouts.seconds) /
        each.bundles,
    ),
    slope(
      'control bytes sent for a bundle, most loaded daemon',
      'bytes',
      'daemon processes with stand-ins over 127.0.0.1, highest of all, other control bytes of the 1 to 2 s included; mean of 2 versions',
      ({ bundles: count, rollouts }) => (rollouts.maxControlBytesOut * rollouts.seconds) / count,
    ),
    slope(
      'time to the last daemon of a bundle',
      'ms',
      'daemon processes; from the answer to the operator, mean of 2 versions',
      (each) => each.rolloutMs,
    ),
  ];
};

const storeSlopes = (fleets: readonly FleetFigures[]): readonly Slope[] => {
  const method =
    '5 daemon processes, currantdrift_store_calls_total above the idle rate of the same run';
  return [
    slopeOf({
      name: 'store calls of wake-ups',
      unit: 'calls',
      per: 'wake-ups',
      method,
      sizes: fleets.map((each) => each.wakes),
      values: fleets.map(({ active, idle }) => above(idle, active)),
    }),
    slopeOf({
      name: 'store calls of bundles',
      unit: 'calls',
      per: 'bundles rolled out, the rollout included',
      method,
      sizes: fleets.map((each) => each.bundles),
      values: fleets.map(({ idle, rollouts }) => above(idle, rollouts)),
    }),
  ];
};

/** Slopes of the fleets of the small sizes, of the variations and of the largest size. */
export const slopesOfFleets = (fleets: readonly FleetFigures[]): readonly Slope[] => {
  const last = fleetSizes.length - 1;
  const bySize = [...fleets.slice(0, last), fleets[fleets.length - 1]];
  const [fewest, most] = fleets.slice(last);
  return [...daemonSlopes(bySize), ...storeSlopes([fewest, fleets[0], most])];
};

/** Cost of daemons that run as processes, and their store calls. */
export const measureFleets = async (): Promise<readonly Slope[]> => {
  const last = fleetSizes.length - 1;
  const small = await Promise.all([
    ...fleetSizes.slice(0, last).map((size, place) => run(size, place, { wakes, bundles })),
    ...variations.map((load, index) => run(fleetSizes[0], last + index, load)),
  ]);
  const large = await run(fleetSizes[last], 0, { wakes, bundles });
  const fleets = [...small, large];
  process.stderr.write(`${JSON.stringify(fleets, null, 1)}\n`);
  return slopesOfFleets(fleets);
};
