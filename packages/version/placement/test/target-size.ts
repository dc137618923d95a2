import { type EndpointReport, itemKey, SeededRandom } from '@currantdrift/core';
import {
  type Account,
  type DomainRecord,
  emptyRecord,
  type EngineStatus,
  GapHistogram,
  type Intent,
  IntentKind,
} from '../src';

const engineCount = 358;

const modelCount = 480;

const adapterCount = 2_200;

const memoryBytes = 640e9;

/** A domain at the size planned for two years ahead; every item is loaded once, some twice. */
export const targetDomain = (): {
  record: DomainRecord;
  account: Account;
  keepWarm: GapHistogram;
} => {
  const random = SeededRandom.create(1);
  const engines = Array.from({ length: engineCount }, (_, index) => `perth-north-engine-${index}`);
  const intents: Intent[] = [];
  const put = (name: string, bytes: number, engine: string) =>
    intents.push({
      id: `${1_000 + (intents.length % 5)}-${intents.length.toString(36)}`,
      engine,
      bootId: `${engine}-2026-12-04T03:00:00Z`,
      item: itemKey({ name, version: '2026-11-28' }),
      bytes,
      kind: IntentKind.load,
      epoch: 1_000,
      answered: true,
    });
  const names = [
    ...Array.from({ length: modelCount }, (_, index) => `lustrewell-model-${index}`),
    ...Array.from(
      { length: adapterCount },
      (_, index) => `lustrewell-model-${index % modelCount}:venue-adapter-${index}`,
    ),
  ];
  names.forEach((name, index) => {
    const isModel = index < modelCount;
    const first = index % modelCount;
    put(name, isModel ? 70e9 : 2e8, engines[first % engineCount]);
    if (isModel && index % 2 === 0) put(name, 70e9, engines[(first + 179) % engineCount]);
  });
  const keepWarm = GapHistogram.create({
    idleHourPrice: 1,
    coldSecondPrice: 1,
    costOf: () => ({ coldStartSeconds: 10, accelerators: 1, calendar: [] }),
  });
  names.forEach((name) => {
    let at = 1_780_000_000_000;
    for (let touch = 0; touch < 12; touch += 1) {
      at += Math.exp(random.next() * 10) * 1_000;
      keepWarm.touch(name, Math.round(at));
    }
  });
  const record: DomainRecord = {
    ...emptyRecord,
    epoch: 1_000,
    serial: 1_000_000,
    holder: { daemon: 'perth-north-daemon-7', incarnation: 4 },
    intents,
    keepWarm: keepWarm.snapshot(),
  };
  const statuses = new Map(
    engines.map((id): [string, EngineStatus] => {
      const items = intents
        .filter(({ engine }) => engine === id)
        .map(({ item, bytes }) => ({ item, bytes, state: 'ready' as const, running: 0 }));
      const report: EndpointReport = {
        endpoint: id,
        bootId: `${id}-2026-12-04T03:00:00Z`,
        sequence: 1,
        state: 'live',
        epoch: 1_000,
        memoryBytes,
        items,
        cached: [],
        running: 0,
        waiting: 0,
        slots: 32,
      };
      return [id, { id, pool: 'writer', fencing: true, state: 'live', report }];
    }),
  );
  return {
    record,
    account: { record, statuses, pending: new Set(), doubtful: new Set() },
    keepWarm,
  };
};
