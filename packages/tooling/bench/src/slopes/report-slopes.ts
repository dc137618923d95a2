import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpEndpointConnector } from '@currantdrift/endpoint';
import { ManagedProcess } from '@currantdrift/standins';
import { type Slope, slopeOf } from './slope';

/** Numbers of reports that are read one after the other. */
const sizes = [500, 1000, 2000];

const port = 29_900;

const itemsHeld = 6;

const script = join(dirname(require.resolve('@currantdrift/standins')), '../bin/standin.js');

/** CPU of reading load reports of an engine that runs in a process of its own. */
export const measureReports = async (): Promise<readonly Slope[]> => {
  const folder = mkdtempSync(join(tmpdir(), 'currantdrift-report-'));
  const file = join(folder, 'engine.json');
  const items = Array.from({ length: itemsHeld }, (_each, index) => ({
    item: `model-${index}:venue-${index}@1`,
    bytes: 100e6,
  }));
  writeFileSync(file, JSON.stringify({ port, items }));
  const engine = ManagedProcess.start({
    name: 'engine',
    args: [script, 'engine', '--config', file],
    log: join(folder, 'engine.log'),
  });
  try {
    const endpoint = HttpEndpointConnector.create().connect({
      name: 'engine-1',
      kind: 'engine',
      domain: 'bench',
      address: `127.0.0.1:${port}`,
      state: 'live',
      incarnation: 1,
      pool: 'bench',
      fencing: true,
    });
    const read = async () => (await endpoint.report(AbortSignal.timeout(5000))).isOk();
    while (!(await read())) await sleep(100);
    const readMany = async (count: number) => {
      for (let index = 0; index < count; index += 1) await read();
    };
    // The first thousands of reads run in code that is not compiled yet.
    await readMany(5000);
    const values: number[] = [];
    for (const size of sizes) {
      const start = process.cpuUsage();
      await readMany(size);
      const { user, system } = process.cpuUsage(start);
      values.push(user + system);
    }
    return [
      slopeOf({
        name: 'CPU of load reports',
        unit: 'microseconds',
        per: 'reports of an engine with 6 items',
        method: 'in-process: HTTP adapter against a stand-in process, over 127.0.0.1',
        sizes,
        values,
      }),
    ];
  } finally {
    await engine.kill();
    rmSync(folder, { recursive: true, force: true });
  }
};
