/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// All machines lose power while the engines of a service are replaced by others of a newer software version.
// The machines come back and take streams of the old version up at the new one.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { nextId, send } from '../lib/client.mjs';
import { configurationOf, engineOf, routeOf, runCase } from '../lib/deployment.mjs';

/** What was sent, answered and run. */
const record = new URL('record.txt', import.meta.url);

const zones = ['tbilisi-vake'];
const eventCount = 57;
const eventMs = 120;
const streams = 12;
const deadlineMs = 15_000;
/** Time for which the machines are without power, in ms. */
const downMs = 1_000;
/** Time from the loss of power to the start of the new engines, and pause between two of them, in ms. */
const releaseAfterMs = 200;
const gapMs = 400;
/** An engine that leaves serves on for this long after its entry is gone, in ms. */
const drainMs = 2_500;
const servesOnMs = 300;
/** The rule allows two joined streams. */
const allowed = 2;

const stream = async (request, id, response, engine) => {
  const after = Number(request.headers['last-event-id'] ?? 0);
  response.writeHead(200, { ...engine.head(id), 'content-type': 'text/event-stream' });
  for (let event = after + 1; event <= eventCount && !response.destroyed; event += 1) {
    await sleep(eventMs);
    response.write(`id: ${event}\ndata: {"version":"${engine.version}","event":${event}}\n\n`);
  }
  response.end();
};

const eventsOf = (body) =>
  body
    .toString()
    .split('\n\n')
    .slice(0, -1)
    .map((text) => JSON.parse(text.slice(text.indexOf('data: ') + 6)));

const accepts = ({ host, front }) =>
  new Promise((resolve) => {
    const socket = connect(front, host);
    socket.once('error', () => resolve(false));
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
  });

await runCase(record, zones, async (deployment, journal, trouble) => {
  const { store, gateways } = deployment;
  const addEngine = (id, version) =>
    deployment.addEngine({
      id,
      version,
      service: 'lantern-scribe',
      zone: zones[0],
      models: ['m0'],
      run: stream,
    });
  const old = [await addEngine('i-1', 'v1'), await addEngine('i-2', 'v1')];
  const route = routeOf('design-brief', '/brief/', 'stream', 'lantern-scribe', {
    gapTargetMs: 300,
    resumable: true,
    maxAttempts: 2,
  });
  const service = { name: 'lantern-scribe', engine: engineOf(['m0']) };
  store.put('op/config', configurationOf(1, [route], [service]));
  for (const name of ['front-1', 'front-2', 'front-3']) await deployment.addGateway(name, zones[0]);
  await deployment.allReady();
  await sleep(3_000);

  /** A client that takes its stream up once if it breaks, at another machine as soon as one accepts. */
  const client = async (index) => {
    const headers = { 'currantdrift-model': 'm0', 'currantdrift-token-counts': '60,171' };
    const id = nextId();
    const endsAt = journal.now() + deadlineMs;
    const first = await send(gateways[index % 3], journal.note, {
      path: '/brief/1',
      id,
      headers,
      deadlineMs,
    });
    const events = eventsOf(first.body);
    if (first.outcome === 'answered' || events.length === 0) return events;
    const next = gateways[(index + 1) % 3];
    while (!(await next.isReady()) || !(await accepts(next))) await sleep(100);
    const second = await send(next, journal.note, {
      path: '/brief/1',
      headers: { ...headers, resumes: id, 'last-event-id': String(events.at(-1).event) },
      deadlineMs: Math.round(endsAt - journal.now()),
    });
    return second.status === 200 ? [...events, ...eventsOf(second.body)] : events;
  };

  const clients = Array.from({ length: streams }, (_, index) => client(index));
  await sleep(1_500);
  if (trouble) gateways.forEach((gateway) => gateway.signal('SIGKILL'));
  const restart = async () => {
    await sleep(downMs);
    if (trouble) gateways.forEach((gateway) => gateway.start());
  };
  const replace = async (engine, index) => {
    await sleep(releaseAfterMs + index * gapMs);
    await addEngine(`i-${index + 3}`, 'v2');
    journal.note('leaves', { engine: engine.id });
    store.remove(`servers/${engine.id}`);
    await sleep(drainMs + servesOnMs);
    journal.note('engine.exit', { engine: engine.id });
    engine.close();
  };
  await Promise.all([restart(), ...old.map(replace)]);
  const results = await Promise.all(clients);
  const joined = results.filter((events) => new Set(events.map(({ version }) => version)).size > 1);
  joined.forEach((events) =>
    journal.note('ORDER', {
      v1: events.filter(({ version }) => version === 'v1').length,
      v2: events.filter(({ version }) => version === 'v2').length,
    }),
  );
  return joined.length > allowed;
});
