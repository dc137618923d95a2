// An engine or a service of the platform, over HTTP, as "Engines" and "Model placement" of PROTOCOL.md say.
const { createServer } = require('node:http');
const { setTimeout: sleep } = require('node:timers/promises');

const first = (value) => (Array.isArray(value) ? value[0] : value) ?? '';

class EngineStandin {
  born = Date.now();

  state = 'ready';

  isGone = false;

  running = 0;

  queued = 0;

  waiting = [];

  orders = 0;

  isBusy = false;

  /** What arrived, in order: `{ at, id, kind, ... }`. */
  log = [];

  constructor(options) {
    this.options = {
      slots: 6,
      queue: 0,
      kvCapacity: 120_922,
      workMs: 43,
      events: 10,
      eventMs: 30,
      loadMs: 600,
      ...options,
    };
    this.held = new Set(this.options.models ?? []);
    this.disk = new Set(this.options.models ?? []);
  }

  get address() {
    return `${this.options.host}:${this.options.port}`;
  }

  listen() {
    return new Promise((resolve, reject) => {
      this.server = createServer((request, response) => {
        const pieces = [];
        request.on('data', (piece) => pieces.push(piece));
        request.on('error', () => {});
        request.on('end', () => {
          const body = Buffer.concat(pieces);
          this.handle(request, body, response).catch(() => response.destroy());
        });
      });
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, resolve);
    });
  }

  close() {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  entry() {
    const { service, zone, slots, version = 'v1' } = this.options;
    return {
      service,
      addr: this.address,
      zone,
      version,
      slots,
      state: this.state,
      coldLeftMs: 0,
      born: this.born,
      seq: this.orders,
      ...(this.options.models !== undefined && {
        stage: 'both',
        models: this.models(),
        atHand: this.atHand(),
      }),
    };
  }

  models() {
    return [...this.held].map((name) => ({ name, version: 1, adapters: [] }));
  }

  atHand() {
    return { inMemory: [], onDisk: [...this.disk] };
  }

  json(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  async handle(request, body, response) {
    const { headers, url, method } = request;
    if (url === '/api/report') {
      this.log.push({ at: this.options.now(), kind: 'report' });
      this.json(response, 200, {
        stage: 'both',
        models: this.models(),
        busy: this.isBusy,
        seq: this.orders,
        queued: this.queued,
        active: this.running,
        kvUsed: 0,
        kvTotal: 100_000,
        handles: 0,
        atHand: this.atHand(),
        born: this.born,
      });
      return;
    }
    if (url === '/api/order') {
      this.json(response, this.order(JSON.parse(body.toString())), {});
      return;
    }
    await this.serve(method, url, headers, body, response);
  }

  order({ op, model, adapter, expected, holder, fence }) {
    const status = this.decideOrder({ op, model, adapter, expected });
    this.log.push({ at: this.options.now(), kind: 'order', op, model, holder, fence, status });
    return status;
  }

  decideOrder({ op, model, adapter, expected }) {
    if (adapter !== undefined) return 400;
    if (this.isBusy || (expected !== undefined && expected !== this.orders)) return 409;
    if (this.held.has(model) === (op === 'load')) return 200;
    this.orders += 1;
    if (op === 'unload') {
      this.held.delete(model);
      return 202;
    }
    this.isBusy = true;
    setTimeout(() => {
      this.held.add(model);
      this.disk.add(model);
      this.isBusy = false;
    }, this.options.loadMs);
    return 202;
  }

  loadHeader() {
    return { 'currantdrift-server-load': `${this.running},${this.queued},${this.options.slots}` };
  }

  refuse(response, id, status, at) {
    this.log.push({ at, kind: 'refused', id, status });
    response.writeHead(status, {
      'currantdrift-request-id': id,
      'currantdrift-not-run': '1',
      ...this.loadHeader(),
    });
    response.end();
  }

  /** A request that is larger than the memory is rejected as if the engine were full. */
  isFull(model, headers) {
    const { slots, queue, kvCapacity } = this.options;
    const counts = first(headers['currantdrift-token-counts']).split(',').map(Number);
    const tokens = counts.reduce((sum, count) => sum + count, 0);
    const isTooLarge = model !== '' && tokens > kvCapacity;
    return isTooLarge || (this.running >= slots && this.queued >= queue);
  }

  async serve(method, url, headers, body, response) {
    const at = this.options.now();
    const id = first(headers['currantdrift-request-id']);
    const [model] = first(headers['currantdrift-model']).split('/');
    const instance = first(headers['currantdrift-expect-instance']);
    const isElsewhere = instance !== '' && instance !== this.options.id;
    const isAbsent = model !== '' && !this.held.has(model);
    if (isElsewhere || isAbsent) {
      this.refuse(response, id, 421, at);
      return;
    }
    if (this.isFull(model, headers)) {
      this.refuse(response, id, 503, at);
      return;
    }
    if (this.running >= this.options.slots) {
      this.queued += 1;
      await new Promise((resolve) => {
        this.waiting.push(resolve);
      });
      this.queued -= 1;
    }
    this.running += 1;
    this.log.push({
      at,
      kind: 'run',
      id,
      method,
      url,
      model,
      tenant: headers['currantdrift-tenant'],
    });
    try {
      if (model !== '') await this.stream(id, headers, response);
      else await this.work(id, response);
    } finally {
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }

  head(id) {
    return {
      'currantdrift-request-id': id,
      'currantdrift-response-seal': `${this.options.id}.${id.slice(-12)}`,
      ...this.loadHeader(),
    };
  }

  async work(id, response) {
    await sleep(this.options.workMs);
    const body = Buffer.from(JSON.stringify({ id, by: this.options.id }));
    response.writeHead(200, { ...this.head(id), 'content-length': body.length });
    response.end(body);
  }

  async stream(id, headers, response) {
    const { events, eventMs } = this.options;
    response.writeHead(200, { ...this.head(id), 'content-type': 'text/event-stream' });
    const after = Number(first(headers['last-event-id']) || '0');
    for (let event = after + 1; event <= events; event += 1) {
      await sleep(eventMs);
      if (response.destroyed) return;
      response.write(
        `id: ${event}\ndata: ${JSON.stringify({ id, event, last: event === events })}\n\n`,
      );
    }
    response.end();
  }
}

module.exports = { EngineStandin };
