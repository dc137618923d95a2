import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  CallerClient,
  Deployment,
  postStandin,
  readStats,
  type RunningDaemon,
  type StreamedAnswer,
} from '@currantdrift/demo';
import type { EngineStats, ServiceStats } from '@currantdrift/standins';
import { request } from 'undici';

const examples = join(__dirname, '../../../../examples');
const key = 'head-office-example-key';
const engines = ['17400', '17401', '17402', '17403'].map((port) => `127.0.0.1:${port}`);
const ledger = '127.0.0.1:17500';

let deployment: Deployment;

beforeEach(async () => {
  deployment = await Deployment.create(join(examples, 'mtkvari'));
  await deployment.start();
  const rollout = await deployment.rollout('bundle.json');
  expect(rollout).toEqual({ code: 0, text: expect.any(String) });
  await deployment.ready();
});

afterEach(async () => {
  await deployment.close();
});

const daemonNamed = (name: string): RunningDaemon => {
  const daemon = deployment.daemons.get(name);
  if (daemon === undefined) throw new Error(`there is no daemon ${name}`);
  return daemon;
};

const chatAt = (name: string, model: string, prompt: string, maxTokens = 64) =>
  CallerClient.create(daemonNamed(name).callers, key).chat(model, prompt, maxTokens);

const isReady = async ({ operators }: RunningDaemon): Promise<boolean> => {
  try {
    const { statusCode, body } = await request(`${operators}/readyz`);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
};

/** Sends streams to ready daemons, as a balancer that checks every 100 ms does. */
const keepLoad = (loops: number) => {
  const stop = new AbortController();
  const answers: StreamedAnswer[] = [];
  const errors: string[] = [];
  let ready: readonly RunningDaemon[] = [...deployment.daemons.values()];
  const balance = async () => {
    while (!stop.signal.aborted) {
      const all = [...deployment.daemons.values()];
      const checks = await Promise.all(all.map(isReady));
      ready = all.filter((_daemon, index) => checks[index]);
      await sleep(100);
    }
  };
  const loop = async (first: number) => {
    for (let index = first; !stop.signal.aborted; index += loops) {
      const daemon = ready[index % ready.length];
      try {
        const caller = CallerClient.create(daemon.callers, key);
        answers.push(await caller.chat('lantern-brief', `prompt ${index}`));
      } catch (error) {
        errors.push(`${daemon.name}: ${String(error)}`);
      }
    }
  };
  const running = [balance(), ...Array.from({ length: loops }, (_, index) => loop(index))];
  return {
    answers,
    errors,
    end: async () => {
      stop.abort();
      await Promise.all(running);
    },
  };
};

// Guards against planned stops that cut answers or lose requests (G8).
test('a rolling replacement of all daemons under load cuts no answer', async () => {
  await Promise.all(
    [...deployment.daemons.keys()].map((name) => chatAt(name, 'lantern-brief', 'warm up')),
  );
  const load = keepLoad(6);
  await sleep(500);
  for (const name of [...deployment.daemons.keys()]) {
    const exit = await daemonNamed(name).process.stop();
    expect({ name, ...exit }).toEqual({ name, code: 0, signal: null });
    deployment.startDaemon(name);
    await deployment.ready([name]);
  }
  await load.end();
  expect(load.errors).toEqual([]);
  expect(load.answers.filter(({ status, whole }) => status !== 200 || !whole)).toEqual([]);
  expect(load.answers.length).toBeGreaterThan(50);
});

// Guards against requests that a stopping daemon takes though it ends before their answers (G8).
test('a planned stop cuts no call, and answers those that end in time', async () => {
  const name = 'vake-2';
  const file = join(deployment.folder, 'daemons', `${name}.json`);
  await daemonNamed(name).process.stop();
  const settings = JSON.parse(readFileSync(file, 'utf8'));
  const stopping = { drainDelayMs: 3_000, timeoutMs: 4_500 };
  writeFileSync(file, JSON.stringify({ ...settings, stopping }));
  deployment.startDaemon(name);
  await deployment.ready([name]);
  await postStandin(ledger, '/faults', { delayMs: 2_500 });
  const caller = CallerClient.create(daemonNamed(name).callers, key);
  const book = (id: string) =>
    caller.call('POST', 'shipments/book', { lanterns: 1 }, id).then(
      ({ status }) => status,
      () => 'closed',
    );
  const bookAll = (from: string) =>
    Promise.all(Array.from({ length: 4 }, (_, index) => book(`${from}-${index}`)));
  const before = await bookAll('before');
  const exit = daemonNamed(name).process.stop();
  const early = bookAll('early');
  await sleep(2_400);
  const late = await bookAll('late');
  const { runsByKey } = await readStats<ServiceStats>(ledger);
  expect({ before, early: await early, late, exit: (await exit).code }).toEqual({
    before: [200, 200, 200, 200],
    early: [200, 200, 200, 200],
    late: [503, 503, 503, 503],
    exit: 0,
  });
  expect(Object.keys(runsByKey).filter((id) => id.startsWith('late'))).toEqual([]);
});

// Guards against a daemon that ends when its session does: the kernel sends SIGHUP to its processes.
test('SIGHUP does not end a daemon', async () => {
  const { process } = daemonNamed('vake-2');
  process.signal('SIGHUP');
  await sleep(500);
  expect(process.isRunning).toBe(true);
});

// Guards against a booking that runs twice when its daemon dies and its caller repeats it (G6).
test('a booking whose daemon is killed runs at most once', async () => {
  await postStandin(ledger, '/faults', { delayMs: 10_000 });
  const body = { lanterns: 3 };
  const first = CallerClient.create(daemonNamed('vake-1').callers, key)
    .call('POST', 'shipments/book', body, 'killed-1')
    .then(
      ({ status }) => status,
      () => 'closed',
    );
  await deployment.until('the booking runs', async () => {
    const { runsByKey } = await readStats<ServiceStats>(ledger);
    return runsByKey['killed-1'] === 1;
  });
  await daemonNamed('vake-1').process.kill();
  expect(await first).toBe('closed');
  await postStandin(ledger, '/faults', { delayMs: 0 });
  const repeat = await CallerClient.create(daemonNamed('isani-1').callers, key).call(
    'POST',
    'shipments/book',
    body,
    'killed-1',
  );
  expect(JSON.parse(repeat.text)).toEqual({
    error: expect.objectContaining({ outcome: 'unknown' }),
  });
  await sleep(1000);
  const { runsByKey } = await readStats<ServiceStats>(ledger);
  expect(runsByKey).toEqual({ 'killed-1': 1 });
});

// Guards against a frozen controller whose late orders exceed the limits after its lease (G1, G2).
test('a controller frozen beyond its lease is replaced and changes nothing afterwards', async () => {
  let holder = '';
  await deployment.until('the domain has a controller', async () => {
    const { text } = await deployment.cli('status', '--json', ...deployment.access('vake-1'));
    const { members } = JSON.parse(text) as { members: { name: string; controller: boolean }[] };
    holder = members.find(({ controller }) => controller)?.name ?? '';
    return holder !== '';
  });
  const other = holder === 'vake-1' ? 'vake-2' : 'vake-1';
  const frozen = daemonNamed(holder).process;
  frozen.signal('SIGSTOP');
  const woken = await chatAt(other, 'lantern-brief', 'while the controller is frozen');
  expect(woken).toMatchObject({ status: 200, whole: true });
  frozen.signal('SIGCONT');
  const [again, elsewhere] = await Promise.all([
    chatAt(holder, 'lantern-brief', 'after it woke'),
    chatAt(other, 'handbook', 'after it woke'),
  ]);
  expect([again, elsewhere].map(({ status, whole }) => [status, whole])).toEqual([
    [200, true],
    [200, true],
  ]);
  const stats = await Promise.all(engines.map((address) => readStats<EngineStats>(address)));
  expect(stats.flatMap(({ overcommits }) => overcommits)).toEqual([]);
  const replicas = stats.reduce(
    (sum, { loads, unloads }) =>
      sum + (loads['lantern-brief@1'] ?? 0) - (unloads['lantern-brief@1'] ?? 0),
    0,
  );
  expect(replicas).toBeLessThanOrEqual(3);
});

// Guards against a store outage that stops warm serving or runs bookings without a claim (G5, G6).
test('during a store outage warm models are served and bookings are refused as not run', async () => {
  await chatAt('vake-1', 'lantern-brief', 'before the outage');
  await postStandin('127.0.0.1:17000', '/faults', { outage: 'refuse' });
  const warm = await chatAt('vake-2', 'lantern-brief', 'in the outage');
  expect(warm).toMatchObject({ status: 200, whole: true });
  const caller = CallerClient.create(daemonNamed('vake-2').callers, key);
  const booking = await caller.call('POST', 'shipments/book', { lanterns: 1 }, 'outage-1');
  expect(booking.status).toBe(503);
  expect(JSON.parse(booking.text).error).toMatchObject({
    code: 'store_unavailable',
    outcome: 'not_run',
  });
  expect((await readStats<ServiceStats>(ledger)).bookings).toBe(0);
  await postStandin('127.0.0.1:17000', '/faults', { outage: 'none' });
  const later = await caller.call('POST', 'shipments/book', { lanterns: 1 }, 'outage-1');
  expect(later.status).toBe(200);
});

// Guards against a booking that runs twice when the store has come back without its claim (G6).
test('a booking whose claim the store lost runs once', async () => {
  const store = '127.0.0.1:17000';
  await postStandin(store, '/copy', {});
  const book = (name: string) =>
    CallerClient.create(daemonNamed(name).callers, key).call(
      'POST',
      'shipments/book',
      { lanterns: 2 },
      'restored-1',
    );
  expect((await book('vake-1')).status).toBe(200);
  await postStandin(store, '/restore', {});
  await deployment.until('the booking is answered again', async () => {
    const { status, text } = await book('isani-1');
    if (status === 200) return true;
    expect(JSON.parse(text).error).toMatchObject({
      code: 'store_unavailable',
      outcome: 'not_run',
    });
    return false;
  });
  expect((await book('vake-2')).status).toBe(200);
  const { runsByKey } = await readStats<ServiceStats>(ledger);
  expect(runsByKey).toEqual({ 'restored-1': 1 });
});
