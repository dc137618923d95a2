// Stand-in of the platform's store, as PROTOCOL.md describes it ("The platform's metadata store").
import { createServer } from 'node:http';

const answerDelayMs = 4;

const readBody = async (request) => {
  const pieces = [];
  for await (const piece of request) pieces.push(piece);
  return pieces.length === 0 ? {} : JSON.parse(Buffer.concat(pieces).toString());
};

export class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.leases = new Map();
    this.revision = 10;
    this.nextLease = 100;
    this.waiters = new Set();
    this.servers = [];
    /** Time of the last watch of the engines' entries, by caller. */
    this.watchedAt = new Map();
  }

  /** Listens on one more address; `caller` is who gets it, and may lose its path to the store. */
  listen(host, port, caller = host) {
    const server = createServer((request, response) => {
      this.handle(request, response, caller).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    this.servers.push(server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  close() {
    this.leases.forEach(({ timer }) => clearTimeout(timer));
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** A write of the operator or an engine; returns the revision, which is its acknowledgement. */
  put(key, value) {
    return this.commit([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
  }

  remove(key) {
    return this.commit([], [key]);
  }

  commit(puts, removes) {
    this.revision += 1;
    const { revision } = this;
    puts.forEach(({ key, value, lease = 0 }) => {
      const createdRev = this.items.get(key)?.createdRev ?? revision;
      const item = { key, value, revision, createdRev, lease };
      this.items.set(key, item);
      this.history.push(item);
    });
    removes
      .filter((key) => this.items.delete(key))
      .forEach((key) => this.history.push({ key, revision, deleted: true }));
    [...this.waiters].forEach((wake) => wake());
    return revision;
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease === id);
    if (keys.length > 0)
      this.commit(
        [],
        keys.map(({ key }) => key),
      );
    return true;
  }

  armLease(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
  }

  async handle(request, response, caller) {
    if (request.url.startsWith('/api/kv-watch?prefix=servers'))
      this.watchedAt.set(caller, performance.now());
    const body = await readBody(request);
    await new Promise((resolve) => {
      setTimeout(resolve, answerDelayMs);
    });
    const [status, answer] = await this.answer(request, body, response);
    const text = JSON.stringify(answer);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async answer({ method, url }, body, response) {
    const { pathname, searchParams } = new URL(url, 'http://store');
    const [, , call, id] = pathname.split('/');
    if (method === 'GET' && call === 'kv-key') {
      const item = this.items.get(searchParams.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, storeRevision: this.revision }];
    }
    if (method === 'GET' && call === 'kv-range') return this.range(searchParams);
    if (method === 'GET' && call === 'kv-watch') return this.watch(searchParams, response);
    if (method === 'POST' && call === 'kv-txn') return this.transact(body);
    if (method === 'POST' && call === 'kv-lease') {
      this.nextLease += 1;
      const ttlMs = Math.max(1000, Math.min(600_000, body.ttlMs));
      this.armLease(this.nextLease, ttlMs);
      return [200, { lease: this.nextLease, ttlMs }];
    }
    if (method === 'POST' && call === 'kv-keep') {
      const lease = this.leases.get(Number(id));
      if (lease === undefined) return [404, {}];
      this.armLease(Number(id), lease.ttlMs);
      return [200, { ttlMs: lease.ttlMs }];
    }
    if (method === 'DELETE' && call === 'kv-lease-end')
      return this.endLease(Number(id)) ? [200, {}] : [404, {}];
    return [400, {}];
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found.slice(0, 500);
    const truncated = items.length < found.length;
    return [200, { items, truncated, storeRevision: this.revision }];
  }

  async watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    for (;;) {
      const events = this.history.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0 || response.destroyed)
        return [200, { events, storeRevision: this.revision }];
      await new Promise((resolve) => {
        let timer;
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }

  transact({ expected = [], puts = [], remove = [] }) {
    const keys = [...puts.map(({ key }) => key), ...remove];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}];
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    const holds = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(holds)) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      return [412, { items }];
    }
    return [200, { revision: this.commit(puts, remove) }];
  }
}
