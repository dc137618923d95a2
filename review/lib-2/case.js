// What the cases share: the record, the end of a run, the configuration of a small deployment.
const { existsSync, writeFileSync, appendFileSync } = require('node:fs');
const { join } = require('node:path');
const { Deployment, root } = require('./deployment');

/** Longest time of a run, in ms. */
const runLimitMs = 115_000;

/** Calls to one engine that the record holds, the first ones. */
const maxRecordedCalls = 5_000;

/** Length to which lines on calls to engines are cut. */
const maxCallLength = 200;

/** Length to which lines of the record are cut. */
const maxLineLength = 500;

const exitCodes = { held: 0, broken: 1, couldNotRun: 2 };

const host = 'shop.example';

/** The route of a service without models, which may be repeated. */
const readRoute = {
  name: 'read',
  host,
  prefix: '/read/',
  routeKind: 'safe',
  service: 'ledger',
  timeoutMs: 3_000,
  aimMs: 243,
  priority: 1,
  maxAttempts: 2,
};

/** The route of the model engines. */
const briefRoute = {
  name: 'brief',
  host,
  prefix: '/brief/',
  routeKind: 'stream',
  service: 'scribe',
  timeoutMs: 15_000,
  aimMs: 1_000,
  gapTargetMs: 300,
  priority: 1,
  maxAttempts: 2,
  resumable: true,
  sticky: true,
};

const modelNames = Array.from({ length: 6 }, (_, index) => `model${index}`);

const scribeService = {
  name: 'scribe',
  healthPath: '/health',
  maxConns: 360,
  engine: {
    slots: 64,
    kvCapacity: 120_922,
    mb: 220_000,
    adapterSlots: 8,
    loadsPerS: 4.2,
    models: modelNames.map((name) => ({
      name,
      mb: 72_700,
      loadS: 6.9,
      diskS: 1.7,
      warmS: 0.81,
      adapters: 0,
      adapterMb: 66,
    })),
  },
};

const ledgerService = { name: 'ledger', healthPath: '/health', maxConns: 96 };

/**
 * Runs a case, with or without its disruption, and writes what happens to the file `record`; `play` gives
 * whether the rule was broken, and a summary.
 */
const runCase = async ({ hasTrouble, record: file }, play) => {
  writeFileSync(file, '');
  let deployment;
  const note = (line) => {
    const text = line.slice(0, maxLineLength);
    const at = deployment === undefined ? '0.000' : (deployment.now() / 1000).toFixed(3);
    appendFileSync(file, `${at} ${text}\n`);
  };
  const finish = async (code, text) => {
    note(text);
    console.log(text);
    await deployment?.close().catch(() => {});
    // Connections that are still open must not keep the run alive.
    // eslint-disable-next-line n/no-process-exit -- the exit code is the result
    process.exit(code);
  };
  const tooLong = setTimeout(
    () => finish(exitCodes.couldNotRun, 'could not run: the time is up'),
    runLimitMs,
  );
  process.on('SIGINT', () => finish(exitCodes.couldNotRun, 'could not run: interrupted'));
  process.on('SIGTERM', () => finish(exitCodes.couldNotRun, 'could not run: ended'));
  try {
    if (!existsSync(join(root, 'target', 'currantdrift-gateway.cjs'))) {
      await finish(exitCodes.couldNotRun, 'could not run: the build of the deploy file is missing');
    }
    deployment = await Deployment.create();
    note(`trouble: ${hasTrouble}`);
    const { isBroken, summary } = await play(deployment, note);
    clearTimeout(tooLong);
    deployment.engines.forEach(({ options, log }) =>
      log
        .filter(({ kind }) => kind !== 'report')
        .slice(0, maxRecordedCalls)
        .forEach(({ at, kind, ...rest }) =>
          appendFileSync(
            file,
            `${(at / 1000).toFixed(3)} ${options.id} ${kind} ${JSON.stringify(rest).slice(0, maxCallLength)}\n`,
          ),
        ),
    );
    const verdict = isBroken ? 'the rule was broken' : 'the rule held';
    await finish(isBroken ? exitCodes.broken : exitCodes.held, `${verdict}: ${summary}`);
  } catch (error) {
    await finish(exitCodes.couldNotRun, `could not run: ${error.stack}`);
  }
};

/** Starts all gateways; throws unless all become ready. */
const startAll = async (deployment) => {
  deployment.beginHeartbeats();
  deployment.gateways.forEach((gateway) => deployment.start(gateway));
  if (!(await deployment.ready())) throw new Error('not all gateways became ready');
};

module.exports = {
  host,
  readRoute,
  briefRoute,
  modelNames,
  scribeService,
  ledgerService,
  runCase,
  startAll,
};
