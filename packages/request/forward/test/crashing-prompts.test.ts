import { type Behaviour, event, chunk, ForwardHarness, head, streamHead } from './harness';

const model = { model: 'm1' };

let harness: ForwardHarness;
afterEach(() => harness.close());

/** Begins the answer and crashes if the prompt contains `d`; serves other prompts. */
const crashesOn =
  (ended: (id: string) => void, id: string): Behaviour =>
  (socket, text) => {
    if (!/prompt: [^\r]*\bd\b/u.test(text)) {
      socket.end(`${streamHead}${chunk(event(1))}0\r\n\r\n`);
      return;
    }
    ended(id);
    socket.write(streamHead, () => socket.destroy());
  };

const start = async (count: number) => {
  const ended = (id: string) => harness.ended.add(id);
  const ids = Array.from({ length: count }, (_, index) => `e${index + 1}`);
  harness = await ForwardHarness.create(...ids.map((id) => crashesOn(ended, id)));
  ids.forEach((_, index) => {
    const models = [{ name: 'm1', adapters: [] }];
    harness.directory.put(harness.endpoint(index).record(models));
  });
};

const send = async (prompt: string) => {
  const { status, body, retryAfter } = await harness.call('/resumable/x', {
    headers: { ...model, prompt },
    body: prompt,
  });
  return { status, body: status === 200 ? body : '', toldToReturn: retryAfter !== undefined };
};

const crash = async (prompt: string) => {
  const before = harness.ended.size;
  const seen = await send(prompt);
  expect(harness.ended.size - before).toBeLessThanOrEqual(1);
  harness.ended.forEach((id) => harness.directory.remove(id));
  return seen.status;
};

// Guards against a second attempt that crashes a second engine.
test('a request that ended its engine is not sent to another one', async () => {
  await start(3);
  expect((await send('a d p1')).status).toBe(502);
  expect(harness.ended.size).toBe(1);
  expect(harness.crashReports).toMatchSnapshot([
    {
      suspects: [
        {
          prompt: expect.any(String) as string,
          parts: ['a', 'd', expect.stringMatching(/^request:/u) as string],
        },
      ],
    },
  ]);
});

// Guards against prompts that crash one engine after the other.
test('prompts with a part that ended two engines are refused without reaching another one', async () => {
  await start(4);
  expect([await crash('a d p1'), await crash('b d p2'), await crash('c d p3')]).toEqual([
    502, 502, 503,
  ]);
  expect(harness.ended.size).toBe(2);
  expect(await send('a b p4')).toMatchSnapshot();
});

// Guards against sound requests that are refused because they share other parts with those that crash.
test('requests that share only the other parts are served', async () => {
  await start(5);
  await crash('a b d p1');
  await crash('a b d p2');
  expect((await send('a b d p3')).status).toBe(503);
  expect((await send('a b p4')).status).toBe(200);
  expect((await send('a p5')).status).toBe(200);
});

// Guards against an engine whose connection broke, but which serves on, as a reason to refuse prompts.
test('a broken connection of an engine that is alive blames no prompt and is retried', async () => {
  harness = await ForwardHarness.create(
    (socket) => socket.write(streamHead, () => socket.destroy()),
    (socket) => socket.end(`${streamHead}${chunk(event(1))}0\r\n\r\n`),
  );
  [0, 1].forEach((index) =>
    harness.directory.put(harness.endpoint(index).record([{ name: 'm1', adapters: [] }])),
  );
  const statuses = [];
  for (let index = 0; index < 6; index += 1) statuses.push((await send(`a d p${index}`)).status);
  expect(statuses).toEqual([200, 200, 200, 200, 200, 200]);
  expect(harness.crashReports).toEqual([]);
});

// Guards against an engine that crashes before its first event as a complete empty answer: without a
// length or chunks, the end of its connection looks like the end of the answer.
test('a stream that ends with its connection before the first event has been broken off', async () => {
  const headOnly = head(200, 'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n');
  harness = await ForwardHarness.create(
    (socket) => socket.end(headOnly),
    (socket) => socket.end(headOnly + event(1)),
  );
  const seen = [];
  for (let index = 0; index < 6; index += 1) {
    const { status, body, complete } = await harness.call('/resumable/x');
    seen.push(`${status} ${body.length} ${complete}`);
  }
  expect(new Set(seen)).toEqual(new Set([`200 ${event(1).length} true`]));
});
