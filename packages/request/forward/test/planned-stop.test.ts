import { type Behaviour, type ClientResponse, ForwardHarness, stopMs, whole } from './harness';

const good: Behaviour = (socket) => socket.end(whole(200, 'fine'));

let harness: ForwardHarness;
const withEndpoints = async (...behaviours: Behaviour[]) => {
  harness = await ForwardHarness.create(...behaviours);
};
afterEach(() => harness.close());

describe('a planned stop', () => {
  const withBody = (id: string, sent: string) =>
    `POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nId: ${id}\r\nContent-Length: 10\r\n\r\n${sent}`;

  // Guards against requests whose head comes in time and whose body does not: they were passed on late in the
  // grace period and cut as the process exited.
  test('a request whose body is still coming is refused at once when no more are taken', async () => {
    await withEndpoints(good);
    const startedAt = performance.now();
    setTimeout(() => harness.closing.abort(), 100);
    const seen = await harness.callRaw(withBody('r1', 'half'), () => {});
    expect(seen.text).toMatch(/^HTTP\/1.1 503 [^]*retry-after: 0\.\d+\r\n/iu);
    expect(performance.now() - startedAt).toBeLessThan(1_000);
    expect(harness.arrivals).toEqual([0]);
  });

  // What that must not cost callers: requests that were passed on, and their repeats, go on.
  test('requests that were passed on before are answered', async () => {
    const slow: Behaviour = (socket) => setTimeout(() => socket.end(whole(200, 'fine')), 300);
    await withEndpoints(slow);
    setTimeout(() => harness.closing.abort(), 100);
    const seen = await Promise.all(
      Array.from({ length: 5 }, () => harness.call('/unsafe/', { body: 'b' })),
    );
    expect(seen.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
    harness.close();
    const fails: Behaviour = (socket) => setTimeout(() => socket.end(whole(500, 'no')), 300);
    await withEndpoints(fails, fails, fails);
    setTimeout(() => harness.closing.abort(), 100);
    expect((await harness.call('/safe/')).status).toBe(500);
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(2);
  });
});

describe('which requests begin in a planned stop', () => {
  const begin = (sinceMs: number) => {
    const now = performance.now();
    harness.stop.begin(now - sinceMs, now - sinceMs);
  };

  /** Replaces what is known of the answers' times. */
  const learn = (restMs: number) =>
    Array.from({ length: 64 }, () =>
      harness.answerTimes.record('s', { firstByteMs: 0, restMs, tokens: 10 }),
    );

  const callAll = (count: number, path: string, headers?: Record<string, string>) =>
    Promise.all(Array.from({ length: count }, () => harness.call(path, { headers })));

  const statusCounts = (seen: readonly ClientResponse[]) => {
    const counts: Record<number, number> = {};
    seen.forEach(({ status }) => {
      counts[status] = (counts[status] ?? 0) + 1;
    });
    return counts;
  };

  // Guards against requests that begin after the limit because the process has not looked at the time yet.
  test('none from the limit on, whenever the process notices it', async () => {
    await withEndpoints(good);
    begin(stopMs);
    const seen = [...(await callAll(10, '/safe/')), ...(await callAll(10, '/once/'))];
    expect(statusCounts(seen)).toEqual({ 503: 20 });
    expect(seen[0].retryAfter).toBe('0.05');
    expect(harness.arrivals).toEqual([0]);
  });

  /** Time that is left of the stop, in ms; a little less than the timeout of the routes. */
  const leftMs = 1_900;
  const longer = 10 * stopMs;

  // Guards against long requests that are taken though the process ends before them. What it costs callers: a
  // request that would have ended sooner than nine in ten is refused like the others, unless its deadline ends it.
  test.each([
    ['a short one is served', 10, undefined, { 200: 10 }],
    ['one that its deadline ends in time is served', longer, { deadline: '300' }, { 200: 10 }],
    ['one that is expected to outlast the process is refused', longer, undefined, { 503: 10 }],
  ])('%s', async (_name, restMs, headers, expected) => {
    await withEndpoints(good);
    learn(restMs);
    begin(stopMs - leftMs);
    expect(statusCounts(await callAll(10, '/safe/', headers))).toEqual(expected);
    expect(harness.arrivals).toEqual([200 in expected ? 10 : 0]);
  });

  // Guards against repeats that begin so late that the process ends in the middle of them.
  test('no repeat that is expected to outlast the process', async () => {
    const fails: Behaviour = (socket) => {
      learn(longer);
      socket.end(whole(500, 'no'));
    };
    await withEndpoints(fails, fails);
    learn(10);
    begin(stopMs - leftMs);
    expect((await harness.call('/safe/')).status).toBe(500);
    expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(1);
  });
});
