import type { EndpointReport, Host } from '@currantdrift/core';
import { EndpointDirectory, type Fact, FactPrefix, FactTable } from '@currantdrift/membership';
import { cpuMicroseconds, keptBytes } from './cost';
import { type Slope, slopeOf } from './slope';

const sizes = [358, 716, 1432, 2864];

const range = (count: number): number[] => Array.from({ length: count }, (_each, index) => index);

const itemsPerEndpoint = 6;

const hostOf = (index: number): Host => ({
  name: `engine-${index}`,
  kind: 'engine',
  domain: 'bench',
  address: `10.1.${Math.floor(index / 250)}.${index % 250}:8000`,
  state: 'live',
  incarnation: 1,
  pool: 'drafting',
  fencing: true,
});

const engineKind = 1;
const ready = 1;
const memoryBytes: EndpointReport['memoryBytes'] = 80e9;

/** The facts of one endpoint, as its watcher publishes them. */
const factsOf = (index: number, revision: number): readonly Fact[] => {
  const { address, name, pool } = hostOf(index);
  const bootId = `boot-${index}`;
  const rank = [1, revision];
  return [
    {
      key: `${FactPrefix.endpoint}${name}`,
      rank,
      value: [
        ...[engineKind, address, 1, pool, true, false, bootId],
        ...[revision, false, memoryBytes, 16, true, 7],
      ],
    },
    {
      key: `${FactPrefix.items}${name}`,
      rank,
      value: [
        bootId,
        revision,
        range(itemsPerEndpoint).map((place) => [
          `model-${(index + place + revision) % 480}:venue-${index * 7 + place}@3`,
          100e6,
          ready,
        ]),
      ],
    },
  ];
};

const directoryOf = (endpoints: number) => {
  const table = FactTable.create();
  const directory = EndpointDirectory.create({ table, domain: 'bench' });
  range(endpoints).forEach((index) => factsOf(index, 1).forEach((fact) => table.apply(fact)));
  return { table, directory };
};

const changesPerRun = 200;

/** Memory per endpoint and CPU of a state change in the directory of a daemon. */
export const measureDirectory = async (): Promise<readonly Slope[]> => {
  // Without a first round the smallest size would carry compiled code and lazy tables.
  sizes.forEach((size) => directoryOf(size));
  const memory = sizes.map((size) => keptBytes(() => directoryOf(size)));
  const cpu: number[] = [];
  for (const size of sizes) {
    const { table, directory } = directoryOf(size);
    if (directory.endpoints().length !== size) throw new Error('facts of endpoints were not read');
    const perRun = await cpuMicroseconds(25, (run) =>
      range(changesPerRun).forEach((index) =>
        factsOf(index, run + 2).forEach((fact) => table.apply(fact)),
      ),
    );
    cpu.push(perRun / changesPerRun);
  }
  return [
    slopeOf({
      name: 'memory per endpoint',
      unit: 'bytes',
      per: 'endpoints of the domain, 6 items each',
      method: 'in-process: heap kept by the fact table and the endpoint directory',
      sizes,
      values: memory,
    }),
    slopeOf({
      name: 'CPU of a state change',
      unit: 'microseconds',
      per: 'endpoints of the domain, 6 items each',
      method: 'in-process: applying the facts of one changed endpoint; median of 25 runs of 200',
      sizes,
      values: cpu,
    }),
  ];
};
