/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// A planned stop ends streams that are delimited by the end of their connection, and they look complete.
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { configurationOf, engineOf, routeOf, runCase } from '../lib/deployment.mjs';

/** What was sent, answered and run. */
const record = new URL('record.txt', import.meta.url);

const zones = ['tbilisi-vake'];
const eventCount = 57;
const eventMs = 220;
/** One answer in so many has neither a length nor chunks: 0.05 of the answers. */
const unframedOneIn = 20;
const streams = 40;

const eventOf = (event) =>
  `id: ${event}\ndata: {"event":${event},"last":${event === eventCount}}\n\n`;

/** A stream that ends with its connection. */
const unframed = async (id, { socket }, engine) => {
  const head = Object.entries({ ...engine.head(id), 'content-type': 'text/event-stream' });
  const text = head.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.write(`HTTP/1.1 200 OK\r\n${text}Connection: close\r\n\r\n`);
  for (let event = 1; event <= eventCount && !socket.destroyed; event += 1) {
    await sleep(eventMs);
    if (!socket.destroyed) socket.write(eventOf(event));
  }
  socket.end();
};

/** A stream in chunks. */
const chunked = async (id, response, engine) => {
  response.writeHead(200, { ...engine.head(id), 'content-type': 'text/event-stream' });
  for (let event = 1; event <= eventCount && !response.destroyed; event += 1) {
    await sleep(eventMs);
    response.write(eventOf(event));
  }
  response.end();
};

let count = 0;

const stream = async (request, id, response, engine) => {
  count += 1;
  const isUnframed = count % unframedOneIn === 0;
  engine.note('answer', { id, framing: isUnframed ? 'connection' : 'chunks' });
  await (isUnframed ? unframed(id, response, engine) : chunked(id, response, engine));
};

await runCase(record, zones, async (deployment, journal, trouble) => {
  await deployment.addEngine({
    id: 'i-1',
    service: 'lantern-scribe',
    zone: zones[0],
    models: ['m0'],
    run: stream,
  });
  const route = routeOf('season-review', '/review/', 'stream', 'lantern-scribe', {
    timeoutMs: 30_000,
    aimMs: 4_000,
    gapTargetMs: 300,
  });
  const service = { name: 'lantern-scribe', engine: engineOf(['m0']) };
  deployment.store.put('op/config', configurationOf(1, [route], [service]));
  const gateway = await deployment.addGateway('front-1', zones[0]);
  await deployment.allReady();
  const answers = [];
  for (let index = 0; index < streams; index += 1) {
    answers.push(
      send(gateway, journal.note, {
        path: '/review/1',
        deadlineMs: 30_000,
        headers: { 'currantdrift-model': 'm0', 'currantdrift-token-counts': '20,171' },
      }),
    );
    await sleep(25);
  }
  if (trouble) gateway.signal('SIGTERM');
  const results = await Promise.all(answers);
  const falselyWhole = results.filter(
    ({ outcome, status, body }) =>
      outcome === 'answered' && status === 200 && !body.includes('"last":true'),
  );
  if (!trouble && results.some(({ outcome, status }) => outcome !== 'answered' || status !== 200))
    throw new Error('a stream was not served without trouble');
  falselyWhole.forEach(({ id, body }) => {
    const events = body.toString().split('\n\n').length - 1;
    journal.note('MIXED', { id, looks: 'complete', events, of: eventCount });
  });
  return falselyWhole.length > 0;
});
