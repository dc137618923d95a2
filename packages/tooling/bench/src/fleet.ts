import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { bundleDigest, parseBundle } from '@currantdrift/bundle';
import { CallerClient, Deployment, type RunningDaemon } from '@currantdrift/demo';
import { EngineStandin } from '@currantdrift/standins';
import { request } from 'undici';
import { processUsage } from './process-usage';

export interface FleetOptions {
  readonly daemons: number;
  readonly engines: number;
  /** First of 500 ports on 127.0.0.1. */
  readonly firstPort: number;
  /** Length of each of the two windows, in ms. */
  readonly windowMs: number;
  /** Models that are woken in the second window. */
  readonly wakes: number;
  /** Versions that are rolled out one after the other in the third window. */
  readonly bundles: number;
}

/** Cost of one daemon over a window, averaged over the fleet; bytes and CPU are per second. */
export interface WindowFigures {
  readonly controlBytesIn: number;
  readonly controlBytesOut: number;
  readonly maxControlBytesOut: number;
  /** Share of a core, in percent. */
  readonly cpuPercent: number;
  readonly maxCpuPercent: number;
  readonly residentMb: number;
  readonly maxResidentMb: number;
  /** Of the whole fleet, by kind; a waiting watch counts once. */
  readonly storeCalls: Readonly<Record<string, number>>;
  readonly seconds: number;
  readonly loadAverage: number;
}

export interface FleetFigures {
  readonly daemons: number;
  readonly engines: number;
  /** Wake-ups that ended with a whole answer. */
  readonly wakes: number;
  readonly bundles: number;
  readonly idle: WindowFigures;
  readonly active: WindowFigures;
  readonly rollouts: WindowFigures;
  /** Mean time from the answer to the operator until all daemons have a version, in ms. */
  readonly rolloutMs: number;
}

interface Sample {
  readonly at: number;
  readonly bytesIn: readonly number[];
  readonly bytesOut: readonly number[];
  readonly cpuSeconds: readonly number[];
  readonly residentBytes: readonly number[];
  readonly storeCalls: Readonly<Record<string, number>>;
}

/** Time for joining before the first window, in ms. */
const settleMs = 15_000;

/** Time between two readings of a daemon's gauges, in ms. */
const gaugePeriodMs = 1000;

const modelBytes = 1_000_000_000;

const ports = {
  store: 0,
  hosts: 1,
  weights: 2,
  callers: 10,
  operators: 100,
  peers: 200,
  engines: 300,
};

const tokenHash = 'cadaee6d96cfc6f48b78f8783c9493f48be29ff3e90ac85c219f014cb73b1eae';
const callerKey = 'load-example-key';
const callerKeyHash = 'd507dbe0e3b8a50d0bfd07f09eea92308a29398365ff58fc713f9bae70123810';

const range = (count: number): number[] => Array.from({ length: count }, (_each, index) => index);

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const round = (value: number): number => Number(value.toPrecision(4));

const bundleOf = (models: number) => ({
  version: 1,
  previous: null,
  domains: [{ name: 'bench', region: 'bench', founding: true }],
  callers: [
    {
      name: 'load',
      keyHashes: [callerKeyHash],
      items: range(models).map((index) => `model-${index}`),
      services: [],
      maxPriority: 9,
      weight: 1,
    },
  ],
  models: range(models).map((index) => ({
    name: `model-${index}`,
    version: '1',
    bytes: modelBytes,
    replicas: 1,
    pool: 'bench',
    calendar: [],
  })),
  adapters: [],
  services: [],
});

/** Writes an example of one domain; its engines are not part of it. */
const writeExample = (folder: string, { daemons, engines, firstPort }: FleetOptions) => {
  const at = (offset: number) => `127.0.0.1:${firstPort + offset}`;
  const write = (file: string, value: unknown) =>
    writeFileSync(join(folder, file), JSON.stringify(value));
  ['daemons', 'engines', 'services'].forEach((name) => mkdirSync(join(folder, name)));
  write('store.json', { port: firstPort + ports.store });
  write('weights.json', { port: firstPort + ports.weights });
  write('hosts.json', {
    port: firstPort + ports.hosts,
    lagMs: 100,
    hosts: [
      ...range(daemons).map((index) => ({
        name: `bench-${index}`,
        kind: 'daemon',
        domain: 'bench',
        address: at(ports.peers + index),
      })),
      ...range(engines).map((index) => ({
        name: `engine-${index}`,
        kind: 'engine',
        domain: 'bench',
        address: at(ports.engines + index),
        pool: 'bench',
        fencing: true,
      })),
    ],
  });
};

/** Writes the settings of one daemon. */
const writeDaemon = (folder: string, firstPort: number, index: number) => {
  const at = (offset: number) => `127.0.0.1:${firstPort + offset}`;
  const settings = {
    name: `bench-${index}`,
    deployment: 'bench',
    domain: 'bench',
    region: 'bench',
    callers: { address: at(ports.callers + index) },
    operators: { address: at(ports.operators + index), tokenHashes: [tokenHash] },
    peers: { address: at(ports.peers + index) },
    platform: { store: at(ports.store), hosts: at(ports.hosts) },
    trustedKeys: { first: '../keys/first.pub.pem', second: '../keys/second.pub.pem' },
    prices: { idleHour: 1, coldSecond: 0.01 },
    stopping: { drainDelayMs: 100, timeoutMs: 5000 },
  };
  writeFileSync(join(folder, `daemons/bench-${index}.json`), JSON.stringify(settings));
};

/** Daemons that start at once; more would not all serve within the demo's limit of 20 s. */
const startedAtOnce = 5;

const startRest = async (deployment: Deployment, { daemons, firstPort }: FleetOptions) => {
  for (let first = startedAtOnce; first < daemons; first += startedAtOnce) {
    const names = range(Math.min(startedAtOnce, daemons - first)).map((place) => {
      writeDaemon(deployment.folder, firstPort, first + place);
      return deployment.startDaemon(`bench-${first + place}`).name;
    });
    await deployment.ready(names);
  }
};

/** Writes version `version`, which changes one model, and gives its digest. */
const writeBundle = (
  folder: string,
  models: number,
  version: number,
  previous: string | null,
): string => {
  const first = bundleOf(models);
  const bundle = {
    ...first,
    version,
    previous,
    models: first.models.map((model, index) =>
      index === 0 ? { ...model, replicas: version } : model,
    ),
  };
  writeFileSync(join(folder, `bundle-${version}.json`), JSON.stringify(bundle));
  return bundleDigest(parseBundle(bundle)._unsafeUnwrap());
};

const metric = (page: string, name: string, direction: string): number => {
  const line = page
    .split('\n')
    .find((each) => each.startsWith(`${name}{`) && each.includes(`direction="${direction}"`));
  return Number(line?.slice(line.lastIndexOf(' ') + 1) ?? 0);
};

const readText = async (url: string): Promise<string> => (await request(url)).body.text();

/** Sums the counters of store calls of all daemons by kind. */
const storeCallsOf = (pages: readonly string[]): Record<string, number> => {
  const calls: Record<string, number> = {};
  pages
    .flatMap((page) => page.split('\n'))
    .filter((line) => line.startsWith('currantdrift_store_calls_total{'))
    .forEach((line) => {
      const call = /call="([^"]+)"/.exec(line)?.[1] ?? 'other';
      calls[call] = (calls[call] ?? 0) + Number(line.slice(line.lastIndexOf(' ') + 1));
    });
  return calls;
};

const sample = async (daemons: readonly RunningDaemon[]): Promise<Sample> => {
  const usages = daemons.map(({ process }) => processUsage(process.pid));
  const at = performance.now();
  const pages = await Promise.all(daemons.map(({ operators }) => readText(`${operators}/metrics`)));
  const bytes = (direction: string) =>
    pages.map((page) => metric(page, 'currantdrift_control_bytes_total', direction));
  return {
    at,
    bytesIn: bytes('in'),
    bytesOut: bytes('out'),
    cpuSeconds: usages.map(({ cpuSeconds }) => cpuSeconds),
    residentBytes: usages.map(({ residentBytes }) => residentBytes),
    storeCalls: storeCallsOf(pages),
  };
};

const compare = (before: Sample, after: Sample): WindowFigures => {
  const seconds = (after.at - before.at) / 1000;
  const rates = (field: 'bytesIn' | 'bytesOut' | 'cpuSeconds') =>
    after[field].map((value, index) => (value - before[field][index]) / seconds);
  const calls = Object.entries(after.storeCalls).map(
    ([call, count]) => [call, count - (before.storeCalls[call] ?? 0)] as const,
  );
  const megabytes = after.residentBytes.map((bytes) => bytes / 1e6);
  return {
    controlBytesIn: round(mean(rates('bytesIn'))),
    controlBytesOut: round(mean(rates('bytesOut'))),
    maxControlBytesOut: round(Math.max(...rates('bytesOut'))),
    cpuPercent: round(mean(rates('cpuSeconds')) * 100),
    maxCpuPercent: round(Math.max(...rates('cpuSeconds')) * 100),
    residentMb: round(mean(megabytes)),
    maxResidentMb: round(Math.max(...megabytes)),
    storeCalls: Object.fromEntries(calls.filter(([, count]) => count > 0)),
    seconds: round(seconds),
    loadAverage: round(loadavg()[0]),
  };
};

/** Wakes each model once, spread over the window. */
const wakeAll = async (
  daemons: readonly RunningDaemon[],
  { wakes, windowMs }: FleetOptions,
): Promise<number> => {
  const gapMs = (windowMs * 0.8) / wakes;
  const answers = await Promise.all(
    range(wakes).map(async (index) => {
      await sleep(index * gapMs);
      const client = CallerClient.create(daemons[index % daemons.length].callers, callerKey);
      return client.chat(`model-${index}`, `benchmark prompt ${index}`, 4);
    }),
  );
  return answers.filter(({ status, whole }) => status === 200 && whole).length;
};

const versionOf = async ({ operators }: RunningDaemon): Promise<number> => {
  const page = await readText(`${operators}/metrics`);
  return Number(/^currantdrift_bundle_version (\d+)/m.exec(page)?.[1] ?? 0);
};

/** Rolls the later versions out; gives the mean time until all daemons have one, in ms. */
const rollOutAll = async (
  deployment: Deployment,
  { bundles, wakes }: FleetOptions,
  firstDigest: string,
): Promise<number> => {
  const daemons = [...deployment.daemons.values()];
  let digest = firstDigest;
  let total = 0;
  for (let version = 2; version <= bundles + 1; version += 1) {
    digest = writeBundle(deployment.folder, wakes, version, digest);
    const rollout = await deployment.rollout(`bundle-${version}.json`);
    if (rollout.code !== 0) throw new Error(`rollout: ${rollout.text}`);
    const start = performance.now();
    const target = version;
    await deployment.until(`version ${version} is in force`, async () => {
      const versions = await Promise.all(daemons.map(versionOf));
      return versions.every((each) => each >= target);
    });
    total += performance.now() - start;
  }
  return total / bundles;
};

/**
 * Runs one domain of daemons as processes, with engines in this process, and measures a daemon
 * over an idle window, one in which models are
 * woken and one in which bundles are rolled out.
 */
export const measureFleet = async (options: FleetOptions): Promise<FleetFigures> => {
  const { daemons: count, engines, firstPort, windowMs } = options;
  const example = mkdtempSync(join(tmpdir(), 'currantdrift-fleet-'));
  writeExample(example, options);
  range(Math.min(startedAtOnce, count)).forEach((index) => writeDaemon(example, firstPort, index));
  const standins = range(engines).map((index) =>
    EngineStandin.create({
      port: firstPort + ports.engines + index,
      name: `engine-${index}`,
      msPerToken: 5,
    }),
  );
  await Promise.all(standins.map((standin) => standin.listen()));
  const deployment = await Deployment.create(example);
  try {
    await deployment.start();
    const digest = writeBundle(deployment.folder, options.wakes, 1, null);
    const rollout = await deployment.rollout('bundle-1.json');
    if (rollout.code !== 0) throw new Error(`rollout: ${rollout.text}`);
    await deployment.ready();
    await startRest(deployment, options);
    await sleep(settleMs);
    const daemons = [...deployment.daemons.values()];
    const first = await sample(daemons);
    await sleep(windowMs);
    const second = await sample(daemons);
    const [wakes] = await Promise.all([wakeAll(daemons, options), sleep(windowMs)]);
    const third = await sample(daemons);
    const rolloutMs = await rollOutAll(deployment, options, digest);
    // The gauge of the last version and the counters are set once a second.
    await sleep(gaugePeriodMs);
    const fourth = await sample(daemons);
    return {
      daemons: count,
      engines,
      wakes,
      idle: compare(first, second),
      active: compare(second, third),
      rollouts: compare(third, fourth),
      bundles: options.bundles,
      rolloutMs: round(rolloutMs),
    };
  } finally {
    await deployment.close();
    await Promise.all(standins.map((standin) => standin.close()));
    rmSync(example, { recursive: true, force: true });
  }
};
