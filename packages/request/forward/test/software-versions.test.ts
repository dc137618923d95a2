import { type Behaviour, chunk, event, ForwardHarness, streamHead } from './harness';

const last = 4;

let harness: ForwardHarness;
afterEach(() => harness.close());

const after = (text: string): number =>
  Number(/\r\n(?:after|last-event-id): (\d+)/iu.exec(text)?.[1] ?? 0);

const eventsFrom = (from: number, to: number): string =>
  Array.from({ length: to - from }, (_, index) => chunk(event(from + index + 1))).join('');

/** Sends all events that are left. */
const whole: Behaviour = (socket, text) =>
  socket.end(`${streamHead}${eventsFrom(after(text), last)}0\r\n\r\n`);

/** Breaks off after two more events. */
const breaks: Behaviour = (socket, text) =>
  socket.write(streamHead + eventsFrom(after(text), after(text) + 2), () => socket.destroy());

/** Breaks off before the first event. */
const headOnly: Behaviour = (socket) => socket.write(streamHead, () => socket.destroy());

/** Starts one endpoint for each behaviour, with the software version at the same place. */
const start = async (versions: readonly string[], ...behaviours: Behaviour[]) => {
  harness = await ForwardHarness.create(...behaviours);
  versions.forEach((softwareVersion, index) =>
    harness.directory.put({ ...harness.endpoint(index).record(), softwareVersion }),
  );
};

/** Uses the first endpoint only at first: the others come when it has a request. */
const startInOrder = async (versions: readonly string[], ...behaviours: Behaviour[]) => {
  const [first, ...others] = behaviours;
  const join: Behaviour = (socket, text) => {
    versions.forEach((softwareVersion, index) =>
      harness.directory.put({ ...harness.endpoint(index).record(), softwareVersion }),
    );
    first(socket, text);
  };
  await start([], join, ...others);
  others.forEach((_, index) => harness.directory.remove(`e${index + 2}`));
  harness.directory.put({ ...harness.endpoint(0).record(), softwareVersion: versions[0] });
};

const stream = (headers: Record<string, string> = {}) => harness.call('/resumable/x', { headers });

const ids = (body: string) => [...body.matchAll(/^id: (\d+)$/gmu)].map(([, id]) => Number(id));

// Guards against an answer that begins at one software version and goes on at another.
test('a broken stream goes on at an endpoint of the same version only', async () => {
  await startInOrder(['v1', 'v2', 'v1'], breaks, whole, whole);
  const { complete, body } = await stream();
  expect([complete, ids(body)]).toEqual([true, [1, 2, 3, 4]]);
  expect(harness.arrivals).toEqual([1, 0, 1]);
});

test('a broken stream that no endpoint of its version can go on with is cut off', async () => {
  const leaves: Behaviour = (socket, text) => {
    harness.directory.remove('e1');
    breaks(socket, text);
  };
  await startInOrder(['v1', 'v2'], leaves, whole);
  const { complete, body } = await stream();
  expect([complete, ids(body)]).toEqual([false, [1, 2]]);
  expect(harness.arrivals).toEqual([1, 0]);
});

// Guards against streams that are held back by a version which has sent their clients nothing.
test('a stream that breaks before its first event may begin at another version', async () => {
  await startInOrder(['v1', 'v2'], headOnly, whole);
  const { complete, body } = await stream();
  expect([complete, ids(body)]).toEqual([true, [1, 2, 3, 4]]);
  expect(harness.begunStreams.map(({ softwareVersion }) => softwareVersion)).toEqual(['v1', 'v2']);
});

// Guards against clients whose streams are joined from two versions when they take them up.
test('a stream that is taken up goes on at the version that began it', async () => {
  await start(['v1', 'v2', 'v2'], whole, whole, whole);
  harness.streamVersions.set('r0', 'v1');
  const seen = [];
  for (let index = 0; index < 4; index += 1) {
    const { status, body } = await stream({ 'last-event-id': '2', resumes: 'r0' });
    seen.push(`${status} ${ids(body).join(' ')}`);
  }
  expect(seen).toEqual(Array.from({ length: 4 }, () => '200 3 4'));
  expect(harness.arrivals).toEqual([4, 0, 0]);
});

// Guards against a guess: what is joined from two versions looks whole to its client.
test.each([
  ['of an attempt that nobody knows', { 'last-event-id': '2', resumes: 'r9' }],
  ['that names no attempt', { 'last-event-id': '2' }],
])('a stream %s is refused', async (_, headers) => {
  await start(['v1', 'v2'], whole, whole);
  const { status, retryAfter } = await stream(headers);
  expect([status, retryAfter !== undefined]).toEqual([503, true]);
  expect(harness.arrivals).toEqual([0, 0]);
});

test('a request without a last event is a new stream', async () => {
  await start(['v1', 'v2'], whole, whole);
  expect((await stream({ resumes: 'r9' })).status).toBe(200);
});

// Guards against streams of a version of which another process has not heard: it would go on with them at its own.
test('a stream begins at a new version only once that may be', async () => {
  await start(['v1', 'v2'], whole, whole);
  harness.settling.add('v2');
  const served = [await stream(), await stream(), await stream()];
  expect(served.map(({ status }) => status)).toEqual([200, 200, 200]);
  expect(harness.arrivals).toEqual([3, 0]);
  // No other endpoint is left: the request waits, and other kinds of requests do not.
  harness.directory.remove('e1');
  const waiting = stream();
  expect((await harness.call('/once/x', {})).status).toBe(200);
  expect(harness.arrivals).toEqual([3, 1]);
  harness.settling.clear();
  expect((await waiting).status).toBe(200);
  expect(harness.arrivals).toEqual([3, 2]);
});

// Guards against ids of any length that are remembered for 20,000 streams; a stream with one is taken up still.
test('a stream is remembered by a key of bounded length', async () => {
  await start(['v1'], whole);
  const id = 'x'.repeat(8_000);
  expect((await stream({ id })).status).toBe(200);
  const [{ request, softwareVersion }] = harness.begunStreams;
  expect(request.length).toBeLessThan(100);
  harness.streamVersions.set(request, softwareVersion);
  const { complete, body } = await stream({ resumes: id, 'last-event-id': '2' });
  expect([complete, ids(body)]).toEqual([true, [3, 4]]);
});
