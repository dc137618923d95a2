import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpClient } from '../src';

const limits = { connectTimeoutMs: 2_000, highWaterBytes: 65_536, maxAnswerBytes: 1_000_000 };

const seal = 'HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\n';

/** Whole responses, of which all but the last two mark their end themselves. */
const responses: Record<string, string> = {
  'with a length': `${seal}Content-Length: 12\r\n\r\nwhole answer`,
  'with a length of none': `${seal}Content-Length: 0\r\n\r\n`,
  'with a length first': 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSeal: x\r\n\r\nok',
  'in chunks': `${seal}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n`,
  'in one empty chunk': `${seal}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'after an early hint': `HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${seal}Content-Length: 2\r\n\r\nok`,
  'until the close': `${seal}\r\nwhole answer`,
  'of HTTP/1.0': 'HTTP/1.0 200 OK\r\nSeal: x\r\n\r\nwhole answer',
};

const headLength = (text: string) => text.lastIndexOf('\r\n\r\n') + 4;

const isUntilClose = (name: string) => name === 'until the close' || name === 'of HTTP/1.0';

/** How a server ends after a part of its response. */
const ends: Record<string, (socket: Socket, part: string) => unknown> = {
  'closed in order': (socket, part) => socket.end(part),
  reset: (socket, part) => {
    if (part !== '') socket.write(part);
    setTimeout(() => socket.resetAndDestroy(), 5);
  },
  // The last data and the reset arrive together.
  'reset at once': (socket, part) => {
    if (part !== '') socket.write(part, () => socket.resetAndDestroy());
    else socket.resetAndDestroy();
  },
  'closed after a pause in the middle': async (socket, part) => {
    const middle = Math.floor(part.length / 2);
    socket.write(part.slice(0, middle));
    await sleep(5);
    socket.end(part.slice(middle));
  },
};

let server: Server;
let client: HttpClient;

/** The response that the server cuts next on each connection. */
const serve = (socket: Socket) => {
  socket.on('error', () => {});
  socket.on('data', (data) => {
    const [, path] = data.toString().split(' ');
    const [, name, end, length] = path.split('/').map(decodeURIComponent);
    if (name === 'whole') socket.write(responses['with a length']);
    else ends[end](socket, responses[name].slice(0, Number(length)));
  });
};

beforeAll(async () => {
  server = createServer(serve);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  client = HttpClient.create(`127.0.0.1:${port}`, 'endpoint', limits);
});

afterAll(async () => {
  await client.close();
  server.close();
});

const get = async (...path: string[]) => {
  const call = { step: 'test', method: 'GET', path: `/${path.map(encodeURIComponent).join('/')}` };
  const answer = await client.whole(call, 5_000);
  return answer.match(
    ({ body }) => `whole: ${body.toString()}`,
    ({ kind }) => kind,
  );
};

const cases = Object.keys(responses).flatMap((name) =>
  Object.keys(ends).map((end): [string, string] => [name, end]),
);

// Guards against a success with an empty or short body where an endpoint stops anywhere in its answer: in the
// status line, in a header, after its length, between two chunks or in the size of one.
test.each(cases)('a response %s, %s after any byte, is no answer', async (name, end) => {
  const text = responses[name];
  // Only the connection marks the end of the others, from the end of their head on.
  const marked = isUntilClose(name) && !end.startsWith('reset') ? headLength(text) : text.length;
  const seen: string[] = [];
  for (let length = 0; length < marked; length += 1) {
    // Each is cut on a connection that has brought a whole answer before.
    await get('whole');
    const result = await get(name, end, String(length));
    if (result !== 'unknown') seen.push(`${length}: ${result}`);
  }
  expect(seen).toEqual([]);
});
