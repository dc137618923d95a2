import { type Behaviour, chunk, event, ForwardHarness, streamHead, whole } from './harness';

let harness: ForwardHarness;
afterEach(() => harness.close());

const endpointCount = 8;

/** Where an engine is in its answer when a request crashes it. */
type Moment = 'before the head' | 'before the first event' | 'after the first event';

const crashAt: Readonly<Record<Moment, Behaviour>> = {
  'before the head': (socket) => socket.destroy(),
  'before the first event': (socket) => socket.write(streamHead, () => socket.destroy()),
  'after the first event': (socket) =>
    socket.write(streamHead + chunk(event(1)), () => socket.destroy()),
};

/** Crashes on requests with the body `deadly`; serves others. */
const behaviour =
  (id: string, moment: Moment): Behaviour =>
  (socket, text) => {
    if (text.includes('deadly')) {
      harness.ended.add(id);
      crashAt[moment](socket, text);
    } else if (text.startsWith('POST /resumable/')) {
      socket.end(`${streamHead}${chunk(event(1))}0\r\n\r\n`);
    } else socket.end(whole(200, 'served'));
  };

const start = async (moment: Moment) => {
  const ids = Array.from({ length: endpointCount }, (_, index) => `e${index + 1}`);
  harness = await ForwardHarness.create(...ids.map((id) => behaviour(id, moment)));
};

const send = async (path: string, body: string, headers: Record<string, string> = {}) => {
  const { status } = await harness.call(path, { body, headers });
  harness.ended.forEach((id) => harness.directory.remove(id));
  return status;
};

/** Repeats a deadly request until it is refused; returns how many engines it has crashed by then. */
const crashedUntilRefused = async (path: string): Promise<number> => {
  for (let repeat = 0; repeat < endpointCount; repeat += 1) {
    if ((await send(path, 'deadly')) === 503) break;
  }
  return harness.ended.size;
};

// Guards against one request that crashes engine after engine as its client repeats it, at each moment at
// which an engine can end.
test.each([
  ['/unsafe/a', 'before the head', 3],
  ['/safe/a', 'before the head', 3],
  ['/resumable/a', 'before the head', 3],
  ['/resumable/a', 'before the first event', 2],
  ['/resumable/a', 'after the first event', 2],
  ['/once/a', 'before the first event', 2],
] as const)(
  '%s that ends engines %s is refused after %i crashes',
  async (path, moment, crashes) => {
    await start(moment);
    expect(await crashedUntilRefused(path)).toBe(crashes);
    expect(await send(path, 'deadly')).toBe(503);
    expect(harness.ended.size).toBe(crashes);
  },
);

// Guards against sound requests that are refused with a deadly one because they look like it.
test('requests with another path, body or caller are served', async () => {
  await start('before the head');
  await crashedUntilRefused('/unsafe/a?n=1');
  const others = [
    await send('/unsafe/a?n=1', 'lively'),
    await send('/unsafe/a?n=2', 'sound'),
    await send('/unsafe/b', 'sound'),
  ];
  expect(others).toEqual([200, 200, 200]);
  // The caller is part of what identifies a request, so this one is tried.
  const before = harness.ended.size;
  await send('/unsafe/a?n=1', 'deadly', { authorization: 'Bearer other' });
  expect(harness.ended.size).toBe(before + 1);
});

// Guards against a request that is told apart by what differs between its repeats.
test('other ids, deadlines and header values do not make another request', async () => {
  await start('before the head');
  await crashedUntilRefused('/unsafe/a');
  expect(await send('/unsafe/a', 'deadly', { id: 'x9', deadline: '700', other: '1' })).toBe(503);
});
