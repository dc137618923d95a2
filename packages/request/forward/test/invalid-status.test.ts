import type { Socket } from 'node:net';
import { type Behaviour, ForwardHarness, whole } from './harness';

let harness: ForwardHarness;

afterEach(() => harness.close());

const pauseMs = 5;

/** Sends a response at once, or in pieces that split its status and its body. */
const deliveries: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
  'at once': (socket, text) => {
    socket.write(text);
  },
  'in pieces': (socket, text) => {
    [text.slice(0, 10), text.slice(10, 30), text.slice(30)].forEach((piece, index) =>
      setTimeout(() => socket.write(piece), index * pauseMs),
    );
  },
};

const cases = Object.keys(deliveries).flatMap((delivery) =>
  ['safe', 'unsafe', 'once', 'resumable'].flatMap((route) =>
    [600, 999].map((status) => ({ delivery, route, status })),
  ),
);

// Guards against clients that get a number which is no status of HTTP, after the endpoint may have run
// the request.
test.each(cases)(
  'status $status $delivery on a $route route becomes 502',
  async ({ delivery, route, status }) => {
    const behaviour: Behaviour = (socket) =>
      deliveries[delivery](socket, whole(status, 'odd', 'Connection: keep-alive\r\n'));
    harness = await ForwardHarness.create(behaviour);
    const seen = await harness.call(`/${route}/`, { headers: { connection: 'keep-alive' } });
    expect(seen.status).toBe(502);
    expect(seen.complete).toBe(true);
  },
);

test('the last valid status is passed on', async () => {
  harness = await ForwardHarness.create((socket) => socket.end(whole(599, 'odd')));
  expect((await harness.call('/unsafe/')).status).toBe(599);
});
