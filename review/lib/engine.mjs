// Stand-in of an engine or a plain service, as PROTOCOL.md describes it ("Engines").
import { createServer } from 'node:http';

const adapterLoadMs = 10;
const modelLoadMs = 6_200;

export class Engine {
  /**
   * `run` answers a request that the engine has begun to run: it is called with the request, its id, the
   * response and the engine.
   */
  constructor({ id, service, zone, slots = 64, version = 'v1', models, note, run }) {
    Object.assign(this, { id, service, zone, slots, version, models, note, run });
    this.born = Date.now();
    this.running = 0;
    this.orders = 0;
    this.busy = false;
    /** Adapters that it holds, as MODEL/ADAPTER. */
    this.adapters = new Set();
  }

  listen(host, port) {
    this.address = `${host}:${port}`;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Ends the engine: its connections break. */
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Its entry below `servers/`. */
  entry(state = 'ready') {
    const { service, address: addr, zone, slots, born, models } = this;
    return {
      service,
      addr,
      zone,
      version: this.version,
      slots,
      state,
      coldLeftMs: 0,
      seq: 1,
      born,
      ...(models && { stage: 'both', models: this.held(), atHand: this.atHand() }),
    };
  }

  held() {
    return this.models.map((name) => ({ name, version: 1, adapters: this.adaptersOf(name) }));
  }

  adaptersOf(model) {
    return [...this.adapters]
      .filter((key) => key.startsWith(`${model}/`))
      .map((key) => key.slice(model.length + 1));
  }

  /** Takes an order and returns the status of the answer. */
  order({ op, model, adapter, expected, holder, fence }) {
    this.note('order', { engine: this.id, op, model, adapter, expected, holder, fence });
    const key = `${model}/${adapter}`;
    const holds = adapter === undefined ? this.models.includes(model) : this.adapters.has(key);
    if (holds === (op === 'load')) return 200;
    if (this.busy || (expected !== undefined && expected !== this.orders)) return 409;
    if (adapter !== undefined && !this.models.includes(model)) return 400;
    this.orders += 1;
    if (adapter === undefined) this.change(op, model);
    else if (op === 'unload') this.adapters.delete(key);
    else setTimeout(() => this.adapters.add(key), adapterLoadMs);
    return 202;
  }

  atHand() {
    return { inMemory: this.models, onDisk: this.models };
  }

  /** The head of an answer to a request that has run. */
  head(requestId) {
    return {
      'currantdrift-request-id': requestId,
      'currantdrift-response-seal': `${this.id}.${requestId}`,
    };
  }

  async handle(request, response) {
    const pieces = [];
    for await (const piece of request) pieces.push(piece);
    if (request.url === '/health') {
      response.writeHead(200, { 'currantdrift-instance-id': this.id });
      response.end();
      return;
    }
    if (request.url === '/api/report') {
      this.json(response, 200, {
        stage: 'both',
        models: this.held(),
        atHand: this.atHand(),
        busy: this.busy,
        seq: this.orders,
        queued: 0,
        active: this.running,
        kvUsed: 0,
        kvTotal: 100_000,
        handles: 0,
        born: this.born,
      });
      return;
    }
    if (request.url === '/api/order') {
      this.json(response, this.order(JSON.parse(Buffer.concat(pieces).toString())), {});
      return;
    }
    const requestId = request.headers['currantdrift-request-id'];
    const instance = request.headers['currantdrift-expect-instance'];
    if (instance !== undefined && instance !== this.id) {
      this.refuse(requestId, response);
      return;
    }
    const [model, adapter] = (request.headers['currantdrift-model'] ?? '').split('/');
    const isAbsent =
      model !== '' &&
      (!this.models.includes(model) ||
        (adapter !== undefined && !this.adapters.has(`${model}/${adapter}`)));
    if (isAbsent) {
      this.refuse(requestId, response);
      return;
    }
    this.running += 1;
    this.note('run', { engine: this.id, id: requestId });
    await this.run(request, requestId, response, this);
    this.running -= 1;
  }

  /** Loads or unloads the weights of a model. */
  change(op, model) {
    if (op === 'unload') {
      this.models = this.models.filter((name) => name !== model);
      this.adaptersOf(model).forEach((name) => this.adapters.delete(`${model}/${name}`));
      return;
    }
    this.busy = true;
    setTimeout(() => {
      this.busy = false;
      this.models = [...this.models, model];
    }, modelLoadMs);
  }

  refuse(requestId, response) {
    response.writeHead(421, { 'currantdrift-request-id': requestId, 'currantdrift-not-run': '1' });
    response.end();
  }

  json(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
