// The platform's store in memory, over HTTP, as "The platform's metadata store" of PROTOCOL.md says.
const { createServer } = require('node:http');
const { setTimeout: sleep } = require('node:timers/promises');

const historyMs = 20_000;
const watchPollMs = 5;

class StoreStandin {
  isDown = false;

  /** Addresses that get 503 for all calls. */
  refused = new Set();

  latencyMs = 4;

  revision = 100;

  items = new Map();

  leases = new Map();

  history = [];

  nextLease = 1;

  servers = [];

  /** Calls as `{ host, call, status }` if set. */
  onCall = undefined;

  constructor() {
    this.expiry = setInterval(() => this.expire(), 20);
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      const server = createServer((request, response) => {
        const pieces = [];
        request.on('data', (piece) => pieces.push(piece));
        request.on('end', () => {
          this.handle(host, request, Buffer.concat(pieces).toString(), response).catch(() =>
            response.destroy(),
          );
        });
      });
      server.once('error', reject);
      server.listen(port, host, () => resolve(server.address().port));
      this.servers.push(server);
    });
  }

  async close() {
    clearInterval(this.expiry);
    await Promise.all(
      this.servers.map(
        (server) =>
          new Promise((resolve) => {
            server.close(() => resolve());
            server.closeAllConnections();
          }),
      ),
    );
  }

  /** The store answers nothing but 503; its leases pause meanwhile. */
  goDown() {
    this.isDown = true;
    this.downSince = performance.now();
  }

  comeBack() {
    const pausedMs = performance.now() - this.downSince;
    this.leases.forEach(({ ttlMs, until }, id) => {
      this.leases.set(id, { ttlMs, until: until + pausedMs });
    });
    this.isDown = false;
  }

  put(key, value, lease = 0) {
    this.revision += 1;
    const before = this.items.get(key);
    const item = {
      key,
      value: Buffer.from(value).toString('base64'),
      revision: this.revision,
      createdRev: before?.createdRev ?? this.revision,
      lease,
    };
    this.items.set(key, item);
    this.record({ at: performance.now(), revision: this.revision, event: item });
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    const event = { key, revision: this.revision, deleted: true };
    this.record({ at: performance.now(), revision: this.revision, event });
  }

  record(change) {
    this.history.push(change);
    while (this.history.length > 0 && performance.now() - this.history[0].at > historyMs) {
      this.history.shift();
    }
  }

  expire() {
    if (this.isDown) return;
    const now = performance.now();
    this.leases.forEach(({ until }, id) => {
      if (now >= until) this.endLease(id);
    });
  }

  endLease(id) {
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.remove(key));
  }

  async handle(host, request, text, response) {
    const url = new URL(request.url, 'http://store');
    await sleep(this.latencyMs);
    const isRefused = this.isDown || this.refused.has(host);
    const answer = isRefused
      ? { status: 503, body: {} }
      : await this.answer(host, request.method, url, text, response);
    const name = `${request.method} ${url.pathname}`;
    this.onCall?.({ host, call: name, text, status: answer.status });
    if (response.destroyed) return;
    response.writeHead(answer.status, { 'content-type': 'application/json', 'store-era': '1' });
    response.end(JSON.stringify(answer.body));
  }

  async answer(host, method, url, text, response) {
    const call = `${method} ${url.pathname}`;
    const query = url.searchParams;
    if (call === 'GET /api/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined
        ? { status: 404, body: { storeRevision: this.revision } }
        : { status: 200, body: { ...item, storeRevision: this.revision } };
    }
    if (call === 'GET /api/kv-range') return this.range(query);
    if (call === 'GET /api/kv-watch') return this.watch(host, query, response);
    if (call === 'POST /api/kv-txn') return this.transact(JSON.parse(text));
    if (call === 'POST /api/kv-lease') {
      const id = this.nextLease;
      this.nextLease += 1;
      const { ttlMs } = JSON.parse(text);
      this.leases.set(id, { ttlMs, until: performance.now() + ttlMs });
      return { status: 200, body: { lease: id, ttlMs } };
    }
    const [, , name, last] = url.pathname.split('/');
    const id = Number(last);
    if (method === 'DELETE' && name === 'kv-lease-end') {
      if (!this.leases.has(id)) return { status: 404, body: {} };
      this.endLease(id);
      return { status: 200, body: {} };
    }
    if (method === 'POST' && name === 'kv-keep') {
      const lease = this.leases.get(id);
      if (lease === undefined) return { status: 404, body: {} };
      lease.until = performance.now() + lease.ttlMs;
      return { status: 200, body: { lease: id, ttlMs: lease.ttlMs } };
    }
    return { status: 404, body: {} };
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const items = found.slice(0, 500);
    const truncated = items.length < found.length;
    return { status: 200, body: { items, truncated, storeRevision: this.revision } };
  }

  async watch(host, query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endsAt = performance.now() + Number(query.get('waitMs'));
    for (;;) {
      if (this.isDown || this.refused.has(host)) return { status: 503, body: {} };
      const first = this.history[0]?.revision ?? this.revision + 1;
      if (after > this.revision || after < first - 1) return { status: 410, body: {} };
      const events = this.history
        .filter(({ revision, event }) => revision > after && event.key.startsWith(prefix))
        .map(({ event }) => event);
      if (events.length > 0 || performance.now() >= endsAt || response.destroyed) {
        return { status: 200, body: { events, storeRevision: this.revision } };
      }
      await sleep(watchPollMs);
    }
  }

  transact({ expected = [], puts = [], remove = [] }) {
    const holds = expected.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      return { status: 412, body: { items } };
    }
    if (puts.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) {
      return { status: 404, body: {} };
    }
    puts.forEach(({ key, value, lease }) => this.put(key, Buffer.from(value, 'base64'), lease));
    remove.forEach((key) => this.remove(key));
    return { status: 200, body: { revision: this.revision } };
  }
}

module.exports = { StoreStandin };
