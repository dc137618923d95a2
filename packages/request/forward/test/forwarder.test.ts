import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { RetryBudget } from '@currantdrift/attempt';
import { err } from 'neverthrow';
import {
  type Behaviour,
  chunk,
  type ClientResponse,
  event,
  ForwardHarness,
  head,
  streamHead,
  whole,
} from './harness';

const answers =
  (text: string): Behaviour =>
  (socket) =>
    socket.end(text);

const resets: Behaviour = (socket) => socket.resetAndDestroy();
const refuses = answers(whole(503, 'full', 'Not-Run: 1\r\n'));
const silent: Behaviour = () => {};
const good = answers(whole(200, 'fine'));
const stream = (...ids: number[]) => streamHead + ids.map((id) => chunk(event(id))).join('');
const lastChunk = '0\r\n\r\n';

let harness: ForwardHarness;
const withEndpoints = async (...behaviours: Behaviour[]) => {
  harness = await ForwardHarness.create(...behaviours);
};
afterEach(() => harness.close());

const summaryOf = ({ status, body, complete }: ClientResponse) => ({ status, body, complete });

describe('answers', () => {
  // Guards against modified bytes, lost seals and requests that run at the wrong endpoint.
  test('an answer is relayed unchanged, and the request states its endpoint and the time left', async () => {
    await withEndpoints(good);
    expect(summaryOf(await harness.call('/safe/x?y=1', { headers: { deadline: '1500' } }))).toEqual(
      {
        status: 200,
        body: 'fine',
        complete: true,
      },
    );
    const [sent] = harness.endpoint(0).requests;
    expect(sent).toContain('GET /safe/x?y=1 HTTP/1.1');
    expect(sent).toContain('only: e1');
    expect(Number(/deadline: (\d+)/u.exec(sent)?.[1])).toBeLessThanOrEqual(1_500);
  });

  // Guards against a refusal of an earlier request, written once more, that makes a client repeat what has run.
  test.each([
    ['a refusal', 503, 'Not-Run: 1\r\n'],
    ['a misdirected request', 421, ''],
  ])('%s of another request is no word on this one', async (_name, status, extra) => {
    harness = await ForwardHarness.create((socket) =>
      socket.end(whole(status, '', `${extra}Id: another\r\n`)),
    );
    expect((await harness.call('/unsafe/x')).status).toBe(502);
    expect(harness.arrivals).toEqual([1]);
  });

  // Guards against relaying another request's answer, or a success that no endpoint has sealed.
  test.each([
    ['of another request', whole(200, 'other', 'Id: another\r\n')],
    ['without a seal', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'],
    ['that is not HTTP', 'garbage\r\n\r\n'],
    ['that is truncated', `${head(200)}Content-Length: 10\r\n\r\npart`],
  ])('an answer %s is not relayed', async (_name, text) => {
    await withEndpoints(answers(text));
    expect((await harness.call('/unsafe/', { body: 'b' })).status).toBe(502);
  });

  // Guards against adding a length or chunks, which would claim that an answer of unknown length is complete.
  test('an answer without a length is relayed without one', async () => {
    await withEndpoints(answers(`${head(200)}\r\nends with the connection`));
    const seen = await harness.call('/unsafe/', { body: 'b' });
    expect(summaryOf(seen)).toMatchObject({ status: 200, body: 'ends with the connection' });
    const text = 'GET /safe/x HTTP/1.1\r\nHost: a.example\r\nId: r2\r\n\r\n';
    const raw = await harness.callRaw(text, () => {});
    expect(raw.text).not.toMatch(/transfer-encoding|content-length/iu);
  });

  test('no route is 404, no identifier is 400, a body above the limit is 413', async () => {
    await withEndpoints(good);
    expect((await harness.call('/none/')).status).toBe(404);
    expect((await harness.call('/safe/', { headers: { id: '' } })).status).toBe(400);
    expect((await harness.call('/safe/', { body: 'x'.repeat(200) })).status).toBe(413);
  });
});

describe('retries', () => {
  // Guards against running a booking twice, and against a refusal of a request that may have run.
  test('an unsafe request that may have run is neither sent again nor reported as refused', async () => {
    await withEndpoints(resets, resets);
    expect((await harness.call('/unsafe/', { body: 'b' })).status).toBe(502);
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(1);
  });

  test('an unsafe request that did not run is sent to another endpoint', async () => {
    await withEndpoints(refuses, refuses, good);
    const seen = await harness.call('/unsafe/', { body: 'b' });
    expect([200, 503]).toContain(seen.status);
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBeLessThanOrEqual(3);
  });

  test('a request that no endpoint ran is refused with a retry time', async () => {
    await withEndpoints(refuses);
    const seen = await harness.call('/unsafe/', { body: 'b' });
    expect(seen.status).toBe(503);
    expect(Number(seen.retryAfter)).toBeGreaterThan(0);
  });

  test('a safe request is sent again after a reset and after an error', async () => {
    let count = 0;
    const fails: Behaviour = (socket) => {
      count += 1;
      if (count === 1) socket.resetAndDestroy();
      else socket.end(whole(200, 'second'));
    };
    await withEndpoints(fails);
    expect(summaryOf(await harness.call('/safe/'))).toMatchObject({ status: 200, body: 'second' });
  });

  // Guards against more runs than the route allows.
  test('a safe request runs at most as often as its route allows, and the last error is relayed', async () => {
    await withEndpoints(...Array.from({ length: 4 }, () => answers(whole(500, 'broken'))));
    expect(summaryOf(await harness.call('/safe/'))).toMatchObject({ status: 500, body: 'broken' });
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(2);
  });

  // Guards against retries that multiply the load on endpoints that fail because of overload.
  test('nothing is sent again without a retry budget', async () => {
    await withEndpoints(resets, good);
    harness.budget = RetryBudget.create({ minRetries: 0, minRetriesPerSecond: 0, retryRatio: 0 });
    await Promise.all(Array.from({ length: 6 }, () => harness.call('/safe/')));
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(6);
  });

  // Guards against statuses that clients take as "not run" for a request that ran: they would book twice.
  test.each([408, 425, 429, 503])(
    'a %s of an endpoint that ran the request becomes 502',
    async (status) => {
      await withEndpoints(answers(whole(status, 'ran and failed')));
      expect((await harness.call('/unsafe/', { body: 'b' })).status).toBe(502);
      expect(harness.arrivals).toEqual([1]);
      expect((await harness.call('/once/', { body: 'b' })).status).toBe(502);
    },
  );

  // What that must not cost callers: true refusals and all other answers stay, and what may run again does.
  test('other answers of endpoints keep their status, and idempotent requests are sent again', async () => {
    const seen = [];
    for (const status of [400, 404, 409, 422, 500]) {
      await withEndpoints(answers(whole(status, 'as it is')));
      seen.push(await harness.call('/unsafe/', { body: 'b' }));
      harness.close();
    }
    expect(seen.map(({ status, body }) => `${status} ${body}`)).toEqual(
      [400, 404, 409, 422, 500].map((status) => `${status} as it is`),
    );
    await withEndpoints(answers(whole(429, 'full', 'Not-Run: 1\r\n')));
    expect((await harness.call('/unsafe/', { body: 'b' })).status).toBe(503);
    harness.close();
    await withEndpoints(answers(whole(429, 'failed')), good);
    const safe = await Promise.all(Array.from({ length: 8 }, () => harness.call('/safe/')));
    expect(safe.map(({ status }) => status)).toEqual(Array.from({ length: 8 }, () => 200));
  });
});

describe('streams', () => {
  test('a stream is relayed completely, event by event', async () => {
    await withEndpoints(answers(stream(1, 2, 3) + lastChunk));
    expect(summaryOf(await harness.call('/once/', { body: 'b' }))).toEqual({
      status: 200,
      body: [1, 2, 3].map(event).join(''),
      complete: true,
    });
  });

  // Guards against lost, repeated or partial events where a stream is resumed.
  test('a resumable stream continues at another endpoint after its last complete event', async () => {
    const behaviour: Behaviour = (socket, request) => {
      const after = /after: (\d+)/u.exec(request)?.[1];
      if (after === undefined) {
        socket.write(stream(1, 2) + chunk('id: 3\nda'));
        setTimeout(() => socket.resetAndDestroy(), 20);
      } else {
        socket.end(stream(Number(after) + 1, Number(after) + 2) + lastChunk);
      }
    };
    await withEndpoints(behaviour, behaviour);
    expect(summaryOf(await harness.call('/resumable/', { body: 'b' }))).toEqual({
      status: 200,
      body: [1, 2, 3, 4].map(event).join(''),
      complete: true,
    });
  });

  // Guards against a broken stream that the client takes for complete.
  test('a stream that cannot be resumed is aborted without a partial event', async () => {
    await withEndpoints((socket) => {
      socket.write(stream(1) + chunk('id: 2\nda'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(summaryOf(await harness.call('/once/', { body: 'b' }))).toEqual({
      status: 200,
      body: event(1),
      complete: false,
    });
  });

  test('a stream that ends within an event is not complete', async () => {
    await withEndpoints(answers(stream(1) + chunk('id: 2\nda') + lastChunk));
    expect((await harness.call('/once/', { body: 'b' })).complete).toBe(false);
  });
});

describe('time', () => {
  // Guards against a client that waits longer than the configured timeout.
  test('a request ends at the timeout of its route', async () => {
    await withEndpoints(silent);
    const seen = await harness.call('/short/', { body: 'b' });
    expect(seen.status).toBe(504);
    expect(seen.elapsedMs).toBeLessThan(700);
  });

  // Guards against endpoints that keep working for a client that disconnected.
  test('the connection to the endpoint closes when the client disconnects', async () => {
    await withEndpoints(silent);
    await harness.call('/unsafe/', { body: 'b', leaveAfterMs: 50 });
    const endsAt = performance.now() + 400;
    while (harness.endpoint(0).closed === 0 && performance.now() < endsAt) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    expect(harness.endpoint(0).closed).toBe(1);
  });
});

describe('models', () => {
  const withModel = { headers: { model: 'm1' }, body: 'b' };

  // Guards against a waiting request that is not sent when its model becomes ready.
  test('a request waits for its model and is sent once an engine holds it', async () => {
    await withEndpoints(answers(stream(1) + lastChunk));
    const pending = harness.call('/once/', withModel);
    setTimeout(() => {
      harness.directory.put(harness.endpoint(0).record([{ name: 'm1', adapters: [] }]));
    }, 80);
    const seen = await pending;
    expect(summaryOf(seen)).toMatchObject({ status: 200, body: event(1) });
    expect(seen.elapsedMs).toBeGreaterThan(60);
  });

  // Guards against keeping a request waiting when its model cannot be ready in time.
  test('a request is refused at once when its model cannot be ready in time', async () => {
    await withEndpoints(good);
    harness.wake = () => err({ kind: 'too_late', message: 'not in time', retryAfterMs: 7_000 });
    const seen = await harness.call('/once/', withModel);
    expect(seen).toMatchObject({ status: 503, retryAfter: '7.00' });
    expect(seen.elapsedMs).toBeLessThan(300);
  });

  // Guards against requests that wait until their deadline while there is no controller to load models.
  test('without a controller a request waits for a part of its time only', async () => {
    await withEndpoints(good);
    harness.wake = () => err({ kind: 'no_controller', message: 'none', retryAfterMs: 1_000 });
    const headers = { ...withModel.headers, deadline: '1600' };
    const seen = await harness.call('/once/', { ...withModel, headers });
    expect(seen).toMatchObject({ status: 503, retryAfter: '1.00' });
    expect(seen.elapsedMs).toBeGreaterThan(400);
    expect(seen.elapsedMs).toBeLessThan(1_500);
  });

  // Guards against a waiting request that gets no answer when the process shuts down.
  test('a waiting request is refused when the process shuts down', async () => {
    await withEndpoints(good);
    const pending = harness.call('/once/', withModel);
    setTimeout(() => harness.closing.abort(), 50);
    expect(await pending).toMatchObject({ status: 503 });
    expect((await harness.call('/safe/')).status).toBe(503);
  });

  // Guards against sending again to an engine that reported that it does not hold the model.
  test('an engine that does not hold the model gets one request', async () => {
    await withEndpoints(answers(whole(421, 'no')));
    harness.directory.put(harness.endpoint(0).record([{ name: 'm1', adapters: [] }]));
    harness.wake = () => err({ kind: 'too_late', message: 'not in time', retryAfterMs: 100 });
    expect((await harness.call('/once/', withModel)).status).toBe(503);
    expect(harness.arrivals).toEqual([1]);
  });
});

describe('names and sizes that clients state', () => {
  const engines = {
    slots: 1,
    cacheTokens: 1_000,
    memoryMb: 1,
    adapterSlots: 0,
    remoteLoadsPerSecond: 1,
    models: new Map(),
  };
  const model = {
    name: 'm1',
    sizeMb: 1,
    remoteLoadMs: 1,
    diskLoadMs: 1,
    memoryLoadMs: 1,
    adapterMb: 1,
    adapters: new Set(['a1']),
  };
  const models = new Map([['m1', model]]);
  const service = { name: 's', healthPath: '/', maxConnections: 1, engines };

  // Guards against names that clients make up and that are counted, reported and remembered for ever.
  test.each([
    ['another model', 'm2', 503],
    ['a model with an adapter that it does not have', 'm1/a2', 503],
    ['a model with its adapter', 'm1/a1', 200],
    ['a model', 'm1', 200],
  ])('a request for %s of a configuration', async (_name, name, status) => {
    await withEndpoints(answers(stream(1) + lastChunk));
    harness.services = new Map([['s', { ...service, engines: { ...engines, models } }]]);
    harness.directory.put(harness.endpoint(0).record([{ name: 'm1', adapters: ['a1'] }]));
    const seen = await harness.call('/once/', { headers: { model: name }, body: 'b' });
    expect(seen.status).toBe(status);
    const uses = harness.usage.takeReport().uses.map(({ arrivals }) => arrivals);
    expect(uses).toEqual(status === 200 ? [1] : []);
    expect(harness.arrivals).toEqual([status === 200 ? 1 : 0]);
  });

  // Guards against a prompt that no engine can hold and that is tried at one after the other.
  test('a prompt larger than every engine is refused at once', async () => {
    await withEndpoints(answers(stream(1) + lastChunk));
    harness.services = new Map([['s', { ...service, engines: { ...engines, models } }]]);
    harness.directory.put(harness.endpoint(0).record([{ name: 'm1', adapters: [] }]));
    const call = (tokens: number) =>
      harness.call('/once/', { headers: { model: 'm1', tokens: String(tokens) }, body: 'b' });
    expect(await call(1_001)).toMatchObject({ status: 503, retryAfter: '10.00' });
    expect(harness.arrivals).toEqual([0]);
    expect((await call(1_000)).status).toBe(200);
  });

  // Guards against a request without a model that keeps others from its endpoint by the size that it states.
  test('a size that nothing reads keeps nobody out', async () => {
    const held: Socket[] = [];
    await withEndpoints((socket, request) => {
      if (request.includes('tokens: 999999999999')) held.push(socket);
      else socket.end(whole(200, 'fine'));
    });
    const headers = { tokens: '999999999999', deadline: '60000' };
    const odd = harness.call('/patient/', { headers });
    while (held.length === 0) await sleep(5);
    const others = [0, 1, 2].map(() =>
      harness.call('/patient/', { headers: { deadline: '9000' } }),
    );
    const seen = await Promise.all(others);
    held.forEach((socket) => socket.end(whole(200, 'fine')));
    expect(seen.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect((await odd).status).toBe(200);
  });
});

describe('answers of a process that ends', () => {
  const unframed = `${head(200, 'Content-Type: text/event-stream\r\n')}\r\n${event(1)}`;
  const halfStream: Behaviour = (socket) => socket.write(unframed);

  // Guards against a stream whose end only its connection marks: a process closes that in order when it ends.
  test.each([
    ['is killed', true],
    ['has been stopped', false],
  ])(
    'a stream without a length is seen to be incomplete when the process %s',
    async (_name, isKilled) => {
      await withEndpoints(halfStream);
      setTimeout(() => harness.endProcess(isKilled), 100);
      expect(summaryOf(await harness.call('/once/x'))).toEqual({
        status: 200,
        body: event(1),
        complete: false,
      });
    },
  );

  // Guards against the same for clients that know no chunks: only a reset tells them.
  test('a stream to a client of HTTP/1.0 is reset when the process has been stopped', async () => {
    await withEndpoints(halfStream);
    const text = 'GET /once/x HTTP/1.0\r\nHost: a.example\r\nId: r1\r\n\r\n';
    const seen = await harness.callRaw(text, () => setTimeout(() => harness.endProcess(false), 50));
    expect(seen).toMatchObject({ isReset: true });
    expect(seen.text).not.toMatch(/transfer-encoding/iu);
  });

  // What the chunks must not change: whole answers without a length stay whole, for both kinds of clients.
  test('a whole stream without a length is complete', async () => {
    await withEndpoints((socket) => socket.end(unframed + event(2)));
    expect(summaryOf(await harness.call('/once/x'))).toEqual({
      status: 200,
      body: event(1) + event(2),
      complete: true,
    });
    const text = 'GET /once/x HTTP/1.0\r\nHost: a.example\r\nId: r2\r\n\r\n';
    const seen = await harness.callRaw(text, () => {});
    expect([seen.isReset, seen.text.endsWith(event(1) + event(2))]).toEqual([false, true]);
  });
});
