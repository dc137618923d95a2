// A small deployment on loopback addresses: a store, engines, the operator and gateway processes.
// The gateways are the project's own program, started with the command of deploy/system.toml; the rest
// are stand-ins that follow the users' pages.
const { spawn } = require('node:child_process');
const { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } = require('node:fs');
const { createServer, request: httpRequest } = require('node:http');
const { tmpdir } = require('node:os');
const { join } = require('node:path');
const { setTimeout: sleep } = require('node:timers/promises');
const { EngineStandin } = require('./engine');
const { StoreStandin } = require('./store');

const root = join(__dirname, '..', '..');

const zones = ['north', 'south', 'east'];

/** Ports; each process has an address of its own. */
const ports = {
  store: 7000,
  front: 7001,
  ready: 7002,
  control: 7004,
  internal: 7100,
  engine: 7003,
};

const startTimeoutMs = 30_000;
const heartbeatMs = 1_200;

/** Time after which the platform starts a process again that has ended, in ms. */
const restartMs = 1_000;

/** Bounds as on the sheet of a small deployment. */
const smallBounds = {
  contactMs: 3000,
  drainMs: 2500,
  graceS: 8,
  configMs: 2500,
  rollbackSlackMs: 250,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 52,
  leaseMs: 3000,
  thawMs: 300,
};

/** The command of the role in deploy/system.toml. */
const deployCommand = () => {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
};

/** A server on an address, or undefined if that is taken. */
const tryListen = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });

const closed = (server) =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/** A network of loopback addresses that no other run uses; `lock` keeps others out until it is closed. */
const freeNetwork = async () => {
  const first = 20 + Math.floor(Math.random() * 200);
  for (let step = 0; step < 200; step += 1) {
    const network = `127.${20 + ((first + step) % 200)}`;
    const lock = await tryListen(`${network}.250.1`, ports.front);
    if (lock !== undefined) return { network, lock };
  }
  throw new Error('no free loopback network');
};

/** Sends one request on a new connection; resolves with what the client saw. */
const call = ({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 10_000 }) =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    let settled = false;
    const finish = (result) => {
      if (settled) return;
      settled = true;
      resolve({ elapsedMs: performance.now() - sentAt, ...result });
    };
    const request = httpRequest({ host, port, method, path, headers, agent: false }, (response) => {
      const pieces = [];
      response.on('data', (piece) => pieces.push(piece));
      response.on('end', () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString(),
          complete: response.complete,
        }),
      );
      response.on('error', (error) =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString(),
          complete: false,
          error: error.code,
        }),
      );
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error('deadline')));
    request.on('error', (error) => finish({ status: 0, error: error.code ?? error.message }));
    request.end(body);
  });

let lastId = Math.floor(Math.random() * 0xffff);

/** Id of a client's attempt. */
const requestId = () => {
  lastId += 1;
  return `${Date.now().toString(16)}${lastId.toString(16).padStart(6, '0')}`;
};

class Deployment {
  gateways = [];

  engines = [];

  children = new Set();

  version = 0;

  constructor(network, folder, store, lock) {
    this.network = network;
    this.folder = folder;
    this.store = store;
    this.lock = lock;
    this.startedAt = performance.now();
  }

  static async create() {
    const { network, lock } = await freeNetwork();
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    return new Deployment(network, folder, new StoreStandin(), lock);
  }

  now() {
    return performance.now() - this.startedAt;
  }

  /** Starts an engine and registers it in the store. */
  async addEngine(options) {
    const number = this.engines.length + 1;
    const host = `${this.network}.100.${number}`;
    const engine = new EngineStandin({
      id: `i-${number}`,
      zone: zones[number % zones.length],
      host,
      port: ports.engine,
      now: () => this.now(),
      ...options,
    });
    await engine.listen();
    this.engines.push(engine);
    this.writeEntry(engine);
    return engine;
  }

  writeEntry(engine) {
    const key = `servers/${engine.options.id}`;
    if (engine.isGone) this.store.remove(key);
    else this.store.put(key, Buffer.from(JSON.stringify(engine.entry())));
  }

  /** Engines write their entries again, every `heartbeatMs`. */
  beginHeartbeats() {
    this.heartbeat = setInterval(() => {
      if (this.store.isDown) return;
      this.engines.filter(({ isGone }) => !isGone).forEach((engine) => this.writeEntry(engine));
    }, heartbeatMs);
  }

  /** The operator writes a configuration; its answer is the acknowledgement. */
  configure(document) {
    this.version += 1;
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    };
    const full = { version: this.version, limits, ...document };
    this.store.put('op/config', Buffer.from(JSON.stringify(full)));
    return this.now();
  }

  /** Prepares gateways, one after the other in the zones; `start` starts them. */
  async addGateways(count, bounds = {}) {
    for (let index = 0; index < count; index += 1) {
      const zone = zones[index % zones.length];
      const host = `${this.network}.${1 + index}.1`;
      const name = `front-${zone}-${1 + Math.floor(index / zones.length)}`;
      const storePort = await this.store.listen(`${this.network}.0.${1 + index}`, 0);
      const file = join(this.folder, `${name}.conf`);
      const fields = {
        node: name,
        role: 'gateway',
        machineClass: 'front',
        serves: 'front,control',
        ip: host,
        zone,
        region: 'region-1',
        ...Object.fromEntries(zones.map((one) => [`zones.${one}`, 'region-1'])),
        'listen.front': `${host}:${ports.front}`,
        'listen.ready': `${host}:${ports.ready}`,
        'listen.control': `${host}:${ports.control}`,
        internalPorts: `${ports.internal},${ports.internal + 15}`,
        seeds: `${this.network}.1.1:${ports.control}`,
        bootstrap: 'false',
        'limits.cpuShare': '0.675',
        'limits.cores': '1',
        'limits.memoryMb': '350',
        'limits.maxFds': '4200',
        discovery: 'platform',
        heartbeatMs: String(heartbeatMs),
        ...Object.fromEntries(
          Object.entries({ ...smallBounds, ...bounds }).map(([key, value]) => [
            `bounds.${key}`,
            String(value),
          ]),
        ),
        'provider.addr': `${this.network}.0.${1 + index}:${storePort}`,
        'provider.form': 'kv',
        'provider.writesPerS': '400',
        'provider.readsPerS': '2000',
        'provider.historyS': '20',
        'provider.valueBytes': '1048576',
        'provider.minTtlMs': '1000',
      };
      const text = Object.entries(fields).map(([key, value]) => `${key}=${value}\n`);
      writeFileSync(file, text.join(''));
      this.gateways.push({
        name,
        zone,
        host,
        port: ports.front,
        file,
        storeHost: `${this.network}.0.${1 + index}`,
        child: undefined,
        exits: [],
      });
    }
  }

  /** Starts a gateway; the platform starts it again after it has ended, unless `stayDown`. */
  start(gateway) {
    const target = gateway;
    const [program, ...args] = deployCommand();
    const log = openSync(join(this.folder, `${target.name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CURRANTDRIFT_BOOT: target.file },
      stdio: ['ignore', log, log],
    });
    target.child = child;
    this.children.add(child);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      target.exits.push({ at: this.now(), code, signal });
      target.child = undefined;
      if (!this.isClosing && !target.stayDown) {
        setTimeout(() => {
          if (!this.isClosing && target.child === undefined) this.start(target);
        }, restartMs);
      }
    });
  }

  /** Waits until all gateways say that they are ready, twice in a row. */
  async ready() {
    const endsAt = performance.now() + startTimeoutMs;
    let inARow = 0;
    while (performance.now() < endsAt) {
      const answers = await Promise.all(this.gateways.map((gateway) => this.isReady(gateway)));
      inARow = answers.every(Boolean) ? inARow + 1 : 0;
      if (inARow >= 5) return true;
      await sleep(200);
    }
    return false;
  }

  async isReady({ host }) {
    const answer = await call({ host, port: ports.ready, path: '/api/ready', timeoutMs: 800 });
    return answer.status === 200;
  }

  async close() {
    this.isClosing = true;
    clearInterval(this.heartbeat);
    const left = [...this.children];
    left.forEach((child) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    const endsAt = performance.now() + 3_000;
    while (this.children.size > 0 && performance.now() < endsAt) await sleep(20);
    await Promise.all(this.engines.map((engine) => engine.close()));
    await this.store.close();
    await closed(this.lock);
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}

module.exports = { root, smallBounds, Deployment, call, requestId };
