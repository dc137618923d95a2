/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// A small deployment on loopback addresses: the store, the engines and the gateways of the deploy file.
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Engine } from './engine.mjs';
import { Gateway } from './gateway.mjs';
import { Journal } from './journal.mjs';
import { freePort } from './ports.mjs';
import { Store } from './store.mjs';

export class Deployment {
  constructor(journal, zones) {
    this.journal = journal;
    this.zones = zones;
    this.network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.gateways = [];
    this.engines = [];
    this.hosts = 10;
  }

  nextHost() {
    this.hosts += 1;
    return `${this.network}.${this.hosts}`;
  }

  async addEngine(options) {
    const host = this.nextHost();
    const engine = new Engine({ ...options, note: this.journal.note });
    await engine.listen(host, await freePort(host));
    this.engines.push(engine);
    this.store.put(`servers/${engine.id}`, engine.entry());
    return engine;
  }

  async addGateway(name, zone) {
    const gateway = new Gateway(name, zone, this.nextHost(), this);
    await gateway.prepare();
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  /** Waits until all gateways say that they are ready. */
  async allReady(timeoutMs = 30_000) {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
      const ready = await Promise.all(this.gateways.map((gateway) => gateway.isReady()));
      if (ready.every(Boolean)) return;
      await sleep(100);
    }
    this.gateways.forEach(({ name }) =>
      this.journal.note('log', {
        machine: name,
        text: readFileSync(join(this.folder, `${name}.log`), 'utf8').slice(-2_000),
      }),
    );
    throw new Error('not all gateways are ready');
  }

  async close() {
    this.gateways.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(this.gateways.map(({ ended }) => ended));
    this.engines.forEach((engine) => engine.close());
    this.store.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}

export const routeOf = (name, prefix, routeKind, service, more = {}) => ({
  name,
  host: 'lanes.example',
  prefix,
  routeKind,
  service,
  timeoutMs: 15_000,
  aimMs: 1_000,
  priority: 1,
  maxAttempts: 1,
  ...more,
});

/** A configuration with the limits of the deployment's sheet. */
export const configurationOf = (version, routes, services) => ({
  version,
  routes,
  services,
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 60_000,
  },
});

/** An engine pool whose engines hold all of its models. */
export const engineOf = (models) => ({
  slots: 64,
  kvCapacity: 120_922,
  mb: 220_000,
  adapterSlots: 8,
  loadsPerS: 4.2,
  models: models.map((name) => ({ name, mb: 65_100, loadS: 6.2, adapters: 36, adapterMb: 12 })),
});

/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. What was sent,
 * answered and run is written to the file `record`.
 */
export const runCase = async (record, zones, play) => {
  const trouble = process.env.TROUBLE !== '0';
  const journal = new Journal(fileURLToPath(record));
  const deployment = new Deployment(journal, zones);
  // No gateway outlives the case, also if that is ended from outside.
  process.once('exit', () => {
    deployment.gateways.forEach(({ child }) => child.kill('SIGKILL'));
    journal.save();
  });
  ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) =>
    // eslint-disable-next-line n/no-process-exit -- the listener on exit ends the gateways
    process.once(signal, () => process.exit(2)),
  );
  let code = 2;
  try {
    const broken = await play(deployment, journal, trouble);
    code = broken ? 1 : 0;
  } catch (error) {
    journal.note('failed', { reason: error.stack });
    process.stderr.write(`${error.stack}\n`);
  }
  await deployment.close();
  journal.note('result', { trouble: trouble ? 1 : 0, exit: code });
  process.stdout.write(`${journal.lines.at(-1)}\n`);
  // eslint-disable-next-line n/no-process-exit -- a stand-in may still hold a timer
  process.exit(code);
};
