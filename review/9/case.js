// Streams that come on kept connections just after 3 s of a planned stop are accepted, and cut at its end.
const { Agent, request: httpRequest } = require('node:http');
const { join } = require('node:path');
const { setTimeout: sleep } = require('node:timers/promises');
const { briefRoute, host, modelNames, runCase, scribeService, startAll } = require('../lib-2/case');
const { requestId, smallBounds } = require('../lib-2/deployment');

/** Whether the disruption takes place, and where it is written what was sent, answered and run. */
const hasTrouble = process.env.TROUBLE !== '0';
const record = join(__dirname, 'record.txt');

const gateways = 3;
const rounds = 2;

/** Clients that keep a connection to each gateway, with one request at a time. */
const clientsPerGateway = 300;

/** Streams of 57 events, as on the sheet, in 5 s. */
const engine = { service: 'scribe', slots: 64, events: 57, eventMs: 88 };
const engines = 13;

/**
 * Time between the end of a client's stream and its next request, in ms: at most four fifths of
 * `idleTimeoutMs`, which is 15 s.
 */
const minThinkMs = 1_000;
const thinkSpreadMs = 8_000;

const warmUpMs = 8_000;

/** Time from the signal to one gateway to that to the next, in ms. */
const gapMs = 13_000;

/** Time after SIGTERM from which the platform sends no new connection to a gateway, in ms. */
const outOfRotationMs = 2_000;

/** Requests that are sent up to this time after SIGTERM may be cut while their engine works, in ms. */
const excusedMs = 3_000;

/** A planned stop lasts until 1 s after the grace period, in ms. */
const stopMs = (smallBounds.graceS + 1) * 1_000;

const send = (agent, gateway) =>
  new Promise((resolve) => {
    const id = requestId();
    let text = '';
    const finish = (result) => resolve({ id, text, ...result });
    const options = {
      agent,
      host: gateway.host,
      port: gateway.port,
      method: 'POST',
      path: '/brief/a',
      headers: {
        host,
        'currantdrift-request-id': id,
        'currantdrift-model': modelNames[0],
        'currantdrift-token-counts': '1460,171',
        'currantdrift-prompt-prefix': 'ab:350,cd:1110',
        'currantdrift-deadline-ms': '15000',
      },
    };
    const request = httpRequest(options, (response) => {
      const { statusCode: status } = response;
      response.on('data', (piece) => {
        text += piece;
      });
      response.on('end', () => finish({ status, isWhole: response.complete }));
      response.on('error', () => finish({ status, isWhole: false }));
    });
    request.on('error', ({ code }) => finish({ status: 0, isWhole: false, code }));
    request.end('{}');
  });

runCase({ hasTrouble, record }, async (deployment, note) => {
  deployment.configure({ routes: [briefRoute], services: [scribeService] });
  for (let index = 0; index < engines; index += 1) {
    await deployment.addEngine({ ...engine, models: modelNames.slice(0, 3) });
  }
  await deployment.addGateways(gateways);
  await startAll(deployment);
  const answers = [];
  let isOver = false;

  /** A client uses its connection until the gateway closes it; a new one goes to a gateway in rotation. */
  const client = async (first) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let gateway = first;
    await sleep(Math.random() * thinkSpreadMs);
    while (!isOver) {
      const hasConnection = Object.keys(agent.freeSockets).length > 0;
      if (!hasConnection && gateway.isOut) {
        gateway = deployment.gateways.find(({ isOut }) => !isOut) ?? gateway;
      }
      const sentAt = deployment.now();
      const answer = await send(agent, gateway);
      answers.push({ name: gateway.name, sentAt, endedAt: deployment.now(), ...answer });
      note(
        `request ${answer.id} sent at ${(sentAt / 1000).toFixed(3)} to ${gateway.name}: ` +
          `${answer.status} ${answer.isWhole ? 'whole' : (answer.code ?? 'cut')}`,
      );
      await sleep(minThinkMs + Math.random() * thinkSpreadMs);
    }
    agent.destroy();
  };
  deployment.gateways
    .flatMap((gateway) => Array.from({ length: clientsPerGateway }, () => client(gateway)))
    .forEach((task) => task.catch(() => {}));
  await sleep(warmUpMs);

  const stops = [];
  const stop = (gateway) => {
    const target = gateway;
    const { child, name } = target;
    stops.push({ name, at: deployment.now() });
    note(`SIGTERM to ${name}`);
    setTimeout(() => {
      target.isOut = true;
    }, outOfRotationMs);
    child.once('exit', (code) => {
      note(`${name} has ended with code ${code}`);
      const awaitReady = async () => {
        while (!isOver && !(await deployment.isReady(gateway))) await sleep(200);
        target.isOut = false;
      };
      awaitReady().catch(() => {});
    });
    child.kill('SIGTERM');
  };
  for (let round = 0; round < rounds; round += 1) {
    for (const gateway of deployment.gateways) {
      if (hasTrouble) stop(gateway);
      await sleep(gapMs);
    }
  }
  isOver = true;

  const running = new Set(
    deployment.engines.flatMap(({ log }) =>
      log.filter(({ kind }) => kind === 'run').map(({ id }) => id),
    ),
  );
  const cut = answers
    .filter(({ status, isWhole, id }) => status === 200 && !isWhole && running.has(id))
    .flatMap(({ id, name, sentAt, endedAt, text }) => {
      const during = stops.find(
        ({ name: stopped, at }) => stopped === name && sentAt > at && endedAt < at + stopMs,
      );
      if (during === undefined) return [];
      const afterMs = Math.round(sentAt - during.at);
      const cutMs = Math.round(endedAt - during.at);
      return [{ id, name, afterMs, cutMs, events: text.match(/^id:/gmu)?.length ?? 0 }];
    });
  cut.forEach((one) =>
    note(
      `${one.id} to ${one.name}: sent ${one.afterMs} ms after SIGTERM, cut ${one.cutMs} ms after it, ` +
        `after ${one.events} of ${engine.events} events`,
    ),
  );
  const lost = cut.filter(({ afterMs }) => afterMs > excusedMs);
  const statuses = {};
  answers.forEach(({ status, isWhole }) => {
    const key = `${status} ${isWhole ? 'whole' : 'not whole'}`;
    statuses[key] = (statuses[key] ?? 0) + 1;
  });
  return {
    isBroken: lost.length > 0,
    summary:
      `${lost.length} streams that were sent later than 3 s after SIGTERM were cut, ` +
      `${lost.map(({ afterMs }) => afterMs).join(', ')} ms after it; ${cut.length - lost.length} ` +
      `earlier ones; ${stops.length} stops; answers ${JSON.stringify(statuses)}`,
  };
});
