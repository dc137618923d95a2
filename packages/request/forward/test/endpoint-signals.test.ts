import { type Behaviour, chunk, event, ForwardHarness, head, streamHead, whole } from './harness';

let harness: ForwardHarness;

afterEach(() => harness.close());

const answering =
  (text: string): Behaviour =>
  (socket) => {
    socket.end(text);
  };

const calls = async (path: string, count: number) => {
  const seen = [];
  for (let index = 0; index < count; index += 1) seen.push(await harness.call(path));
  return seen;
};

describe('an endpoint that announces its shutdown', () => {
  const leaving = 'Leaving: 1\r\n';

  // Guards against requests to an endpoint that announced its shutdown in an answer.
  test.each([
    ['a success', whole(200, 'ok', leaving)],
    ['an error', whole(404, 'no', leaving)],
    ['a failure', whole(500, 'no', leaving)],
    ['a refusal', whole(503, 'no', `${leaving}Not-Run: 1\r\n`)],
    ['an incomplete answer', `${head(200, leaving)}Content-Length: 10\r\n\r\nok`],
  ])('gets no request after %s', async (_name, text) => {
    harness = await ForwardHarness.create(answering(text), answering(whole(200, 'ok')));
    // Sends until the first endpoint has got a request, whichever of the two is chosen first.
    for (let tries = 0; tries < 20 && harness.arrivals[0] === 0; tries += 1) {
      await harness.call('/unsafe/');
    }
    expect(harness.leaving).toEqual(['e1']);
    await calls('/unsafe/', 10);
    expect(harness.arrivals[0]).toBe(1);
  });

  // Guards against aborting a stream because its endpoint is shutting down.
  test('finishes a stream that it has begun', async () => {
    harness = await ForwardHarness.create((socket) => {
      socket.write(streamHead.replace('\r\n\r\n', `\r\n${leaving}\r\n`));
      socket.write(chunk(event(1)));
      setTimeout(() => socket.end(chunk(event(2)) + chunk('')), 300);
    });
    const seen = await harness.call('/once/');
    expect(seen).toMatchObject({ status: 200, complete: true, body: event(1) + event(2) });
    expect((await harness.call('/once/')).status).toBe(503);
  });

  // Guards against removing an endpoint because another one at the same address announced its shutdown.
  test('is not confused with another endpoint at the same address', async () => {
    const other = whole(421, '', `${leaving}From: e9\r\n`);
    const answers = [other, whole(200, 'ok')];
    harness = await ForwardHarness.create((socket) => {
      socket.end(answers.shift() ?? whole(200, 'ok'));
    });
    await calls('/unsafe/', 2);
    expect(harness.leaving).toEqual([]);
  });
});

describe('an endpoint that asks for a pause', () => {
  const pausing = (ms: number) => whole(503, 'no', `Not-Run: 1\r\nPause: ${ms}\r\n`);

  // Guards against requests and retries during a pause that an endpoint asked for.
  test('gets no requests until the pause ends, and gets them again afterwards', async () => {
    let isPausing = true;
    harness = await ForwardHarness.create(
      (socket) => {
        socket.end(isPausing ? pausing(600) : whole(200, 'ok'));
        isPausing = false;
      },
      answering(whole(200, 'ok')),
    );
    for (let tries = 0; tries < 20 && harness.arrivals[0] === 0; tries += 1) {
      expect((await harness.call('/unsafe/')).status).toBe(200);
    }
    await calls('/safe/', 10);
    harness.directory.remove('e2');
    const refused = await calls('/safe/', 10);
    expect(refused.every(({ status }) => status === 503)).toBe(true);
    expect(harness.arrivals[0]).toBe(1);
    await new Promise((resolve) => {
      setTimeout(resolve, 650);
    });
    expect((await harness.call('/safe/')).status).toBe(200);
    expect(harness.arrivals[0]).toBe(2);
  });

  // Guards against requests that wait in vain, and against a burst of clients that all retry at once.
  test('a burst is refused at once with spread retry times if there is no other endpoint', async () => {
    harness = await ForwardHarness.create(answering(pausing(2_000)));
    await harness.call('/unsafe/');
    const burst = await Promise.all(Array.from({ length: 60 }, () => harness.call('/unsafe/')));
    expect(harness.arrivals).toEqual([1]);
    expect(burst.every(({ status }) => status === 503)).toBe(true);
    expect(Math.max(...burst.map(({ elapsedMs }) => elapsedMs))).toBeLessThan(500);
    const returns = burst.map(({ retryAfter }) => Number(retryAfter) * 1_000);
    expect(Math.min(...returns)).toBeGreaterThanOrEqual(1_400);
    // At most a fifth of the clients retry within the same tenth of a second.
    const tenths = returns.map((ms) => Math.floor(ms / 100));
    const maxInOneTenth = Math.max(
      ...tenths.map((tenth) => tenths.filter((one) => one === tenth).length),
    );
    expect(maxInOneTenth).toBeLessThanOrEqual(burst.length / 5);
  });
});

describe('an endpoint that limits its requests', () => {
  // Guards against a limit that only some kinds of answers make known.
  test.each([
    ['a success', whole(200, 'ok', 'Limit: 2\r\n')],
    ['a failure', whole(500, 'no', 'Limit: 2\r\n')],
    ['a refusal', whole(503, 'no', 'Limit: 2\r\nNot-Run: 1\r\n')],
  ])('is known by %s', async (_name, text) => {
    harness = await ForwardHarness.create(answering(text));
    await harness.call('/unsafe/');
    expect(harness.directory.limits.rate({ id: 'e1', bornAt: 1 })).toBe(2);
  });

  // Guards against a limit that an answer of another endpoint ends.
  test('keeps its limit when another endpoint answers at its address', async () => {
    const answers = [whole(200, 'ok', 'Limit: 2\r\n'), whole(421, '', 'Not-Run: 1\r\n')];
    harness = await ForwardHarness.create((socket) => {
      socket.end(answers.shift() ?? whole(421, ''));
    });
    await calls('/unsafe/', 2);
    expect(harness.directory.limits.rate({ id: 'e1', bornAt: 1 })).toBe(2);
  });

  const limited = (text: string, rate: number) => whole(200, text, `Limit: ${rate}\r\n`);

  // Guards against requests to a limited endpoint while another one can serve them.
  test('gets no request while another endpoint can serve it', async () => {
    harness = await ForwardHarness.create(
      answering(limited('slow', 1)),
      answering(whole(200, 'ok')),
    );
    harness.directory.limits.observe({ id: 'e1', bornAt: 1 }, 1, 0, 1);
    const seen = await calls('/unsafe/', 20);
    expect(seen.map(({ status }) => status)).toEqual(Array(20).fill(200));
    expect(harness.arrivals[0]).toBe(0);
  });

  // Guards against a limit that each process keeps to by itself.
  test('gets no more requests from two processes than it takes from all', async () => {
    harness = await ForwardHarness.create(answering(limited('ok', 4)));
    const other = await ForwardHarness.create();
    other.issuer = harness.issuer;
    other.directory.put(harness.endpoint(0).record());
    const endsAt = Date.now() + 2_000;
    const callUntilEnd = async ({ call }: { call: () => Promise<unknown> }) => {
      while (Date.now() < endsAt) await call();
    };
    await Promise.all(
      [harness, other, harness, other].map((one) =>
        callUntilEnd({ call: () => one.call('/short/') }),
      ),
    );
    other.close();
    expect(harness.arrivals[0]).toBeGreaterThanOrEqual(6);
    // The first request of each caller is sent before a limit is known.
    expect(harness.arrivals[0]).toBeLessThanOrEqual(2 * 4 + 4);
  });

  // Guards against a request that is refused although a permit comes in time.
  test('serves a request that can wait for its permit', async () => {
    harness = await ForwardHarness.create(answering(limited('ok', 4)));
    const seen = await calls('/unsafe/', 4);
    expect(seen.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
    expect(seen[3].elapsedMs).toBeGreaterThan(150);
  });

  // Guards against requests that wait until their deadline although no permit can come in time.
  test('refuses at once what cannot wait, and tells when to come back', async () => {
    harness = await ForwardHarness.create(answering(limited('ok', 0.5)));
    const [, , refused] = await calls('/short/', 3);
    expect(refused.status).toBe(503);
    expect(refused.elapsedMs).toBeLessThan(100);
    expect(Number(refused.retryAfter)).toBeGreaterThan(2);
    expect(harness.arrivals).toEqual([2]);
  });

  // Guards against requests that stay restricted after the endpoint has ended its limit.
  test('is used as before once its answers state no limit', async () => {
    const answers = [limited('ok', 4)];
    harness = await ForwardHarness.create((socket) => {
      socket.end(answers.shift() ?? whole(200, 'ok'));
    });
    const seen = await calls('/unsafe/', 10);
    expect(seen.every(({ status }) => status === 200)).toBe(true);
    expect(harness.arrivals).toEqual([10]);
  });
});
