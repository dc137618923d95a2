import { type Behaviour, chunk, event, ForwardHarness, head, streamHead, whole } from './harness';

let harness: ForwardHarness;
afterEach(() => harness.close());

const lastChunk = '0\r\n\r\n';
const begun = event(1) + event(2);

/** How the endpoint that began the stream breaks off after two events. */
const breaks: Record<string, Behaviour> = {
  'is reset': (socket) => {
    socket.write(streamHead + chunk(event(1)) + chunk(event(2)));
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  'closes in order': (socket) => {
    socket.end(streamHead + chunk(event(1)) + chunk(event(2)));
  },
};

const chunked = (type: string, text: string) =>
  `${head(200, `Content-Type: ${type}\r\nTransfer-Encoding: chunked\r\n`)}\r\n${text}`;

const events = (...ids: number[]) => ids.map((id) => chunk(event(id))).join('') + lastChunk;

/** Answers that do not go on with the stream. */
const misfits: Record<string, string> = {
  'an error with a length': whole(500, 'no such engine'),
  'an error in chunks': `${head(500, 'Transfer-Encoding: chunked\r\n')}\r\n${chunk('no')}${lastChunk}`,
  'a refusal': whole(503, 'full'),
  'too many requests': whole(429, 'slow down'),
  'a client error': whole(400, 'bad'),
  'a redirection': whole(302, '', 'Location: /\r\n'),
  'no content': head(204, '\r\n'),
  'a part': whole(206, event(3)),
  'a success without a seal': 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno',
  "an error's text as another type": chunked(
    'application/json',
    chunk('{"error":"busy"}\n\n') + lastChunk,
  ),
  "an error's text as events": chunked(
    'text/event-stream',
    chunk('{"error":"busy"}\n\n') + lastChunk,
  ),
  'text without a type': whole(200, 'busy\n\n'),
  'an empty body with a length': whole(200, '', 'Content-Type: text/event-stream\r\n'),
  'an empty body in chunks': chunked('text/event-stream', lastChunk),
  'an empty body until the close': head(200, 'Content-Type: text/event-stream\r\n\r\n'),
  'the stream from its beginning': chunked('text/event-stream', events(1, 2, 3)),
  'the last event again': chunked('text/event-stream', events(2, 3)),
  'a gap': chunked('text/event-stream', events(4, 5)),
  'half a head': 'HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Le',
  'no HTTP': 'garbage\r\n\r\n',
  nothing: '',
};

const cases = Object.keys(breaks).flatMap((name) =>
  Object.keys(misfits).map((misfit): [string, string] => [name, misfit]),
);

const after = (request: string) => /after: (\d+)/u.exec(request)?.[1];

/** A stream that breaks off at its first endpoint; `rest` answers the repeat. */
const takeUp = async (begins: Behaviour, rest: Behaviour) => {
  const behaviour: Behaviour = (socket, request) =>
    (after(request) === undefined ? begins : rest)(socket, request);
  harness = await ForwardHarness.create(behaviour, behaviour);
  const { status, body, complete } = await harness.call('/resumable/', { body: 'b' });
  return { status, body, complete };
};

// Guards against a repeat's error text, or a whole other answer, in the middle of a stream, and against a
// stream that ends as complete though its rest has not come.
test.each(cases)('a stream whose endpoint %s gets nothing of %s', async (name, misfit) => {
  const rest: Behaviour = (socket) => socket.end(misfits[misfit]);
  expect(await takeUp(breaks[name], rest)).toEqual({ status: 200, body: begun, complete: false });
});

// What that must not cost: streams that go on, also after comments and with further fields.
test.each(Object.keys(breaks))('a stream whose endpoint %s goes on', async (name) => {
  const text = `: comment\n\nversion: 2\n${event(3)}${event(4)}`;
  const rest: Behaviour = (socket) =>
    socket.end(chunked('text/event-stream', chunk(text) + lastChunk));
  expect(await takeUp(breaks[name], rest)).toEqual({
    status: 200,
    body: begun + text,
    complete: true,
  });
});

// What it costs: a stream that had all its events and lost only its end is cut. Its client takes it up and is
// told by the endpoint's own answer that nothing remains.
test('a client that takes up a stream of which nothing remains gets the whole empty answer', async () => {
  harness = await ForwardHarness.create((socket) =>
    socket.end(whole(200, '', 'Content-Type: text/event-stream\r\n')),
  );
  harness.streamVersions.set('r0', '1');
  const headers = { 'last-event-id': '2', resumes: 'r0' };
  harness.directory
    .all()
    .forEach((record) => harness.directory.put({ ...record, softwareVersion: '1' }));
  const { status, body, complete } = await harness.call('/resumable/', { body: 'b', headers });
  expect({ status, body, complete }).toEqual({ status: 200, body: '', complete: true });
});

// Guards against a stream that begins anew where its first events had no ids: nobody can tell where to go on.
test('a stream without ids is not repeated once it has begun', async () => {
  const begins: Behaviour = (socket) => {
    socket.write(streamHead + chunk('data: x\n\n'));
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  harness = await ForwardHarness.create(begins, begins);
  const { body, complete } = await harness.call('/resumable/', { body: 'b' });
  expect({ body, complete }).toEqual({ body: 'data: x\n\n', complete: false });
  expect(harness.arrivals.reduce((sum, count) => sum + count)).toBe(1);
});
