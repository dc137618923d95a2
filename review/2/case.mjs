/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// A service in trouble answers 429 to bookings that it has run; the answer is passed on as a promise.
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { configurationOf, routeOf, runCase } from '../lib/deployment.mjs';

/** What was sent, answered and run. */
const record = new URL('record.txt', import.meta.url);

const zones = ['tbilisi-vake'];
const workMs = 43;
const requests = 100;
/** Share of the requests that the service in trouble fails. */
const failingShare = 0.4;
/** Statuses that promise that a request has not run. */
const promises = [408, 421, 429, 503];

await runCase(record, zones, async (deployment, journal, trouble) => {
  let count = 0;
  const work = async (request, id, response, engine) => {
    await sleep(workMs);
    engine.note('booked', { engine: engine.id, id });
    const isGrey = trouble && engine.id === 's-1';
    count += isGrey ? 1 : 0;
    const fails = isGrey && (count * failingShare) % 1 < failingShare;
    const body = Buffer.from(JSON.stringify({ booked: id }));
    // Without `Currantdrift-Not-Run`: the answer does not state that the request has not run.
    response.writeHead(fails ? 429 : 200, { ...engine.head(id), 'content-length': body.length });
    response.end(body);
  };
  for (const id of ['s-1', 's-2', 's-3']) {
    await deployment.addEngine({ id, service: 'stall-ledger', zone: zones[0], run: work });
  }
  const route = routeOf('shipment-booking', '/book/', 'unsafe', 'stall-ledger', {
    timeoutMs: 1_500,
    aimMs: 200,
  });
  deployment.store.put('op/config', configurationOf(1, [route], [{ name: 'stall-ledger' }]));
  const gateway = await deployment.addGateway('front-1', zones[0]);
  await deployment.allReady();
  const answers = [];
  for (let index = 0; index < requests; index += 1) {
    answers.push(send(gateway, journal.note, { path: `/book/${index}`, deadlineMs: 3_000 }));
    await sleep(20);
  }
  const results = await Promise.all(answers);
  const ran = journal.ran();
  const broken = results.filter(({ id, status }) => promises.includes(status) && ran.has(id));
  broken.forEach(({ id, status }) => journal.note('REFUSED', { id, status, ran: 'yes' }));
  return broken.length > 0;
});
