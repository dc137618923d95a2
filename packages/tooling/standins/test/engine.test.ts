import { setTimeout as sleep } from 'node:timers/promises';
import { EngineStandin, expectedTokens, WeightsStandin } from '@currantdrift/standins';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

interface Reply {
  readonly status: number;
  readonly text: string;
}

const start = async (config: object) => {
  const engine = EngineStandin.create({
    msPerToken: 0,
    prefillMs: 0,
    unloadMs: 0,
    loadLagMs: 0,
    cacheEventLagMs: 0,
    memoryBytes: 100,
    items: [{ item: 'a@1', bytes: 60 }],
    ...config,
  });
  const origin = `http://${await engine.listen()}`;
  closers.push(() => engine.close());
  const post = async (path: string, body: object): Promise<Reply> => {
    const answer = await fetch(origin + path, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    return { status: answer.status, text: await answer.text() };
  };
  const get = async (path: string): Promise<unknown> => (await fetch(origin + path)).json();
  const order = async (id: string, kind: string, item: string, epoch = 1, bytes = 30) => {
    const reply = await post('/control/orders', { id, kind, item, epoch, bytes });
    return `${reply.status} ${reply.text}`;
  };
  return { engine, post, get, order };
};

const generation = {
  requestId: 'r1',
  attempt: 1,
  item: 'a@1',
  messages: [{ role: 'user' as const, content: 'hello' }],
  maxTokens: 24,
  priority: 5,
  resume: [] as string[],
};

const tokensOf = (text: string): string[] =>
  text
    .split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .flatMap((event) => (JSON.parse(event.slice(6)) as { tokens?: string[] }).tokens ?? []);

// Guards against orders that run twice, on a stale epoch, or on an item in use.
test('orders are fenced, run once, and leave items in use alone', async () => {
  const { engine, post, order } = await start({ msPerToken: 20 });
  const running = post('/v1/completions', generation);
  while (engine.stats().runCount === 0) await sleep(2);
  const answers = [
    await order('o1', 'unload', 'a@1', 5),
    await order('o2', 'load', 'b@1', 4),
    await order('o3', 'load', 'a:x@1', 5),
    await order('o3', 'load', 'a:x@1', 6),
    await order('o4', 'load', 'b:x@1', 6),
    await order('o5', 'load', 'a:x@1', 6),
    await order('o6', 'role', '', 6),
    await order('o7', 'split', '', 6),
  ];
  await running;
  answers.push(await order('o1', 'unload', 'a@1', 6), await order('o8', 'unload', 'a:x@1', 6));
  answers.push(await order('o1', 'unload', 'a@1', 6));
  const { loads, unloads, overcommits } = engine.stats();
  expect({ answers, loads, unloads, overcommits }).toMatchSnapshot();
});

// Guards against an overcommit that passes unnoticed, and against refusing what should be recorded.
test('an overcommit is recorded, or refused by setting', async () => {
  const recording = await start({ fencing: false });
  await recording.order('o1', 'load', 'b@1', 5, 50);
  expect(await recording.order('o2', 'load', 'c@1', 4, 10)).toBe('200 {}');
  const { peakBytes, overcommits } = recording.engine.stats();
  expect([peakBytes, overcommits.map(({ usedBytes }) => usedBytes)]).toEqual([120, [110, 120]]);
  const refusing = await start({ overcommit: 'refuse' });
  expect(await refusing.order('o1', 'load', 'b@1', 5, 50)).toMatch(/^409 .*does not fit/);
});

// Guards against resumed answers that differ from uninterrupted ones, after a broken stream too.
test('answers are deterministic and resume at any token', async () => {
  const { engine, post } = await start({ tokensPerEvent: 5 });
  const whole = expectedTokens(generation);
  expect(tokensOf((await post('/v1/completions', generation)).text)).toEqual(whole);
  engine.setFaults({ breakAfterTokens: 7 });
  await expect(post('/v1/completions', generation)).rejects.toThrow();
  engine.setFaults({ breakAfterTokens: null });
  const resumed = { ...generation, attempt: 2, resume: whole.slice(0, 7) };
  expect(tokensOf((await post('/v1/completions', resumed)).text)).toEqual(whole.slice(7));
  expect(engine.stats().runs).toMatchSnapshot();
});

// Guards against a queue without bound or order, and against running what was refused.
test('requests wait by priority and are refused when the queue is full', async () => {
  const { engine, post } = await start({ slots: 1, queueLimit: 2, msPerToken: 5 });
  const ask = (requestId: string, priority: number) =>
    post('/v1/completions', { ...generation, requestId, priority });
  const all = [ask('first', 0)];
  while (engine.stats().runCount === 0) await sleep(2);
  all.push(ask('low', 1));
  await sleep(10);
  all.push(ask('high', 9));
  await sleep(10);
  const full = await ask('over', 9);
  const notReady = await post('/v1/completions', { ...generation, item: 'b@1' });
  await post('/control/cancel', { requestId: 'first', attempt: 1 });
  const texts = (await Promise.all(all)).map(({ text }) => text);
  expect([full.status, notReady.status]).toEqual([429, 409]);
  expect(texts[0]).toContain('the attempt was cancelled');
  expect(Object.keys(engine.stats().runs)).toEqual(['first', 'high', 'low']);
});

// Guards against a death that keeps its memory, its orders or its boot id.
test('an engine that dies in a load starts empty', async () => {
  const weights = WeightsStandin.create({ bytesPerSecond: 1 });
  const address = await weights.listen();
  closers.push(() => weights.close());
  const { engine, get, order } = await start({ weights: address });
  const before = engine.stats().bootId;
  engine.setFaults({ dieInLoad: true, dieAfterMs: 20 });
  await expect(order('o1', 'load', 'b@1')).rejects.toThrow();
  expect(await get('/control/report')).toMatchObject({ items: [], epoch: 0, state: 'live' });
  expect(engine.stats().bootId).not.toBe(before);
  expect(engine.stats().loads).toEqual({});
});

// Guards against reports, cache events and fault switches that tests cannot rely on.
test('leaving, refusals, late cache events and crossed streams show', async () => {
  const { engine, post, get } = await start({ cacheEventGap: 2 });
  for (const content of ['x', 'x', 'y', 'z']) {
    await post('/v1/completions', { ...generation, messages: [{ role: 'user', content }] });
  }
  expect(await get('/control/cache-events?after=0')).toMatchSnapshot();
  await post('/faults', { leaving: true, crossStreams: true });
  const crossed = await post('/v1/completions', generation);
  expect(tokensOf(crossed.text)[0]).toBe(' crossed');
  expect(await get('/control/report')).toMatchObject({ state: 'leaving' });
  engine.setFaults({ refuseGenerations: true });
  expect((await post('/v1/completions', generation)).status).toBe(503);
  expect((await post('/faults', { leaving: 'yes' })).status).toBe(400);
});
