/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// Many processes are killed at once, among them the two that read the store for the others; an engine
// leaves meanwhile. The others take their own gap for an outage of the store and keep the engine.
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { configurationOf, routeOf, runCase } from '../lib/deployment.mjs';

/** What was sent, answered and run. */
const record = new URL('record.txt', import.meta.url);

const zones = ['tbilisi-vake', 'batumi-port'];
const machines = [
  ['front-1', zones[0]],
  ['front-2', zones[0]],
  ['front-3', zones[1]],
  ['front-4', zones[1]],
  ['front-5', zones[1]],
  ['front-6', zones[1]],
];
/** Machines that are killed at once: a third, where `herd_kill` takes 0.55 on this site. */
const killed = 2;
/** One engine of so many leaves: a quarter. */
const engines = 4;
const restartMs = 2_000;
const removeAfterKillMs = 20;
const drainMs = 2_500;
/** The engine serves on a little longer than `drainMs`. */
const servesOnMs = 400;
const workMs = 43;
const sendEveryMs = 15;

const work = async (request, id, response, engine) => {
  await sleep(workMs);
  const body = Buffer.from(JSON.stringify({ booked: id }));
  response.writeHead(200, { ...engine.head(id), 'content-length': body.length });
  response.end(body);
};

await runCase(record, zones, async (deployment, journal, trouble) => {
  for (let index = 0; index < engines; index += 1) {
    const zone = zones[index % zones.length];
    await deployment.addEngine({ id: `s-${index}`, service: 'stall-ledger', zone, run: work });
  }
  const route = routeOf('shipment-booking', '/book/', 'unsafe', 'stall-ledger', {
    timeoutMs: 1_500,
    aimMs: 200,
  });
  deployment.store.put('op/config', configurationOf(1, [route], [{ name: 'stall-ledger' }]));
  for (const [name, zone] of machines) await deployment.addGateway(name, zone);
  await deployment.allReady();
  await sleep(6_000);
  const now = performance.now();
  const isReader = ({ name }) => now - (deployment.store.watchedAt.get(name) ?? -Infinity) < 2_000;
  const readers = deployment.gateways.filter(isReader);
  journal.note('readers', { machines: readers.map(({ name }) => name).join(',') });
  const victims = [
    ...readers,
    ...deployment.gateways.filter((gateway) => !readers.includes(gateway)),
  ].slice(0, killed);
  const survivors = deployment.gateways.filter((gateway) => !victims.includes(gateway));
  const answers = [];
  let isSending = true;
  const sending = (async () => {
    while (isSending) {
      survivors.forEach((gateway) =>
        answers.push(send(gateway, journal.note, { path: '/book/1', deadlineMs: 3_000 })),
      );
      await sleep(sendEveryMs);
    }
  })();
  await sleep(1_000);
  if (trouble) victims.forEach((gateway) => gateway.signal('SIGKILL'));
  await sleep(removeAfterKillMs);
  const [engine] = deployment.engines;
  deployment.store.remove(`servers/${engine.id}`);
  const removedAt = journal.now();
  journal.note('removed', { engine: engine.id });
  await sleep(restartMs - removeAfterKillMs);
  if (trouble) victims.forEach((gateway) => gateway.start());
  await sleep(removedAt + drainMs + servesOnMs - journal.now());
  journal.note('engine.exit', { engine: engine.id, running: engine.running });
  engine.close();
  await sleep(1_000);
  isSending = false;
  await sending;
  const results = await Promise.all(answers);
  const runs = journal.entries
    .filter((one) => one.kind === 'run' && one.engine === engine.id)
    .map(({ id, at }) => ({ id, afterMs: at - removedAt }));
  const late = runs.filter(({ afterMs }) => afterMs > drainMs);
  const lateIds = new Set(late.map(({ id }) => id));
  const lost = results.filter(({ id, status }) => lateIds.has(id) && status !== 200);
  late.forEach(({ id, afterMs }) => journal.note('DRAIN', { id, afterMs: afterMs.toFixed(0) }));
  lost.forEach(({ id, outcome, status }) => journal.note('lost', { id, outcome, status }));
  return late.length > 0;
});
