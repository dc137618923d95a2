import { spawn, spawnSync } from 'node:child_process';
import { join } from 'node:path';
import {
  HostsStandin,
  ServiceStandin,
  type Standin,
  StoreStandin,
  WeightsStandin,
} from '@currantdrift/standins';
import { RateLimit } from '../src/rate-limit';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const listen = async (standin: Standin): Promise<string> => {
  closers.push(() => standin.close());
  return `http://${await standin.listen()}`;
};

const post = (url: string, body: object, headers = {}) =>
  fetch(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });

// Guards against changes that show before the lag, and against a replaced host that looks the same.
test('the host list lags', () => {
  const hosts = HostsStandin.create({ lagMs: 2000 });
  const host = { name: 'e1', kind: 'engine', domain: 'd', address: '127.0.0.1:1' } as const;
  hosts.change({ action: 'add', host }, 10_000);
  hosts.change({ action: 'leaving', name: 'e1' }, 10_500);
  hosts.change({ action: 'add', host }, 11_000);
  hosts.change({ action: 'remove', name: 'e1' }, 11_500);
  const times = [11_999, 12_000, 12_500, 13_000, 13_500];
  const shown = times.map((now) =>
    hosts.shown(now).map(({ state, incarnation }) => `${state} ${incarnation}`),
  );
  expect(shown).toEqual([[], ['live 1'], ['leaving 1'], ['live 2'], []]);
  expect(hosts.change({ action: 'leaving', name: 'e2' })).toBe(false);
});

// Guards against a store that allows more calls than the platform does, or a refusal without a time.
test('the store limits its rates, its values and counts its calls', async () => {
  const limit = RateLimit.create(10, 0, 2);
  expect([0, 0, 0, 100, 100].map((now) => limit.take(now))).toEqual([0, 0, 100, 0, 100]);
  const store = StoreStandin.create({ writesPerSecond: 0.001 });
  const origin = await listen(store);
  const put = (bytes: number) =>
    fetch(`${origin}/v1/entry?key=a&revision=0`, { method: 'PUT', body: new Uint8Array(bytes) });
  const refused = await put(1);
  expect([refused.status, await refused.json()]).toMatchObject([
    429,
    { error: { outcome: 'not_run' } },
  ]);
  await post(`${origin}/faults`, { outage: 'refuse' });
  expect((await fetch(`${origin}/v1/entries`)).status).toBe(503);
  expect(store.stats()).toEqual({ compareAndSwap: 1, list: 1 });
  const large = StoreStandin.create();
  const url = `${await listen(large)}/v1/entry?key=a&revision=0`;
  const body = new Uint8Array(1_000_001);
  expect((await fetch(url, { method: 'PUT', body })).status).toBe(413);
});

// Guards against loads beyond the full-speed number that are not slowed down.
test('loads and adapter fetches share their medium', async () => {
  const weights = WeightsStandin.create({
    loadsPerSecond: 1000,
    loadsAtFullSpeed: 1,
    bytesPerSecond: 1000,
    adaptersAtFullSpeed: 2,
    adapterMs: [40, 40],
  });
  const origin = await listen(weights);
  const timed = async (count: number, path: string, bytes: number) => {
    const start = performance.now();
    const items = Array.from({ length: count }, (_, index) => `m${index}@1`);
    await Promise.all(items.map((item) => post(`${origin}/fetches/${path}`, { item, bytes })));
    return performance.now() - start;
  };
  expect(await timed(2, 'models', 50)).toBeGreaterThan(95);
  expect(await timed(4, 'adapters', 1)).toBeGreaterThan(75);
  await post(`${origin}/faults`, { slowdown: 3 });
  expect(await timed(1, 'models', 30)).toBeGreaterThan(85);
  expect(weights.stats()).toMatchObject({ loads: 3, adapters: 4, maxLoads: 2, maxAdapters: 4 });
});

// Guards against a service that hides a repeated booking or runs what it refuses.
test('the service counts each run of a booking', async () => {
  const service = ServiceStandin.create({ callMs: 0 });
  const origin = await listen(service);
  const book = () => post(`${origin}/calls/deposits/take`, { a: 1 }, { 'idempotency-key': 'k1' });
  service.setFaults({ loseAnswers: 1 });
  await expect(book()).rejects.toThrow();
  expect((await book()).status).toBe(200);
  service.setFaults({ refuse: true, leaving: true });
  expect((await book()).status).toBe(503);
  service.setFaults({ refuse: false });
  await fetch(`${origin}/calls/stock/read?hall=2`);
  const { runsByBody, latestStartAfterLeavingMs, ...stats } = service.stats();
  expect([stats, Object.values(runsByBody)]).toMatchSnapshot();
});

const bin = join(__dirname, '..', 'bin', 'standin.js');

// Guards against a process that cannot be found, stopped or corrected.
test('a stand-in process prints its address and stops on SIGTERM', async () => {
  const child = spawn(process.execPath, [bin, 'hosts'], { stdio: ['ignore', 'pipe', 'inherit'] });
  const exit = new Promise((resolve) => {
    child.once('exit', resolve);
  });
  const line = await new Promise<Buffer>((resolve) => {
    child.stdout.once('data', resolve);
  });
  const { kind, address } = JSON.parse(line.toString()) as { kind: string; address: string };
  expect(kind).toBe('hosts');
  expect(await (await fetch(`http://${address}/hosts`)).json()).toEqual({ hosts: [] });
  child.kill('SIGTERM');
  expect(await exit).toBe(0);
  const wrong = spawnSync(process.execPath, [bin, 'stores'], { encoding: 'utf8' });
  expect([wrong.status, wrong.stderr]).toEqual([2, expect.stringContaining('usage: ')]);
});
