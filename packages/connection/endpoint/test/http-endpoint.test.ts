import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type {
  Failure,
  GenerationRequest,
  Host,
  ServiceCallRequest,
  StreamPart,
} from '@currantdrift/core';
import { type EndpointSettings, HttpEndpoint, HttpEndpointConnector } from '@currantdrift/endpoint';
import { EngineStandin, expectedTokens } from '@currantdrift/standins';
import type { Result } from 'neverthrow';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const neverAborted = new AbortController().signal;

const host = (address: string, incarnation = 1): Host => ({
  name: 'writer-1',
  kind: 'engine',
  domain: 'perth-north',
  address,
  state: 'live',
  incarnation,
  pool: 'writer',
  fencing: true,
});

const connect = (address: string, settings: Partial<EndpointSettings> = {}): HttpEndpoint => {
  const connector = HttpEndpointConnector.create(settings);
  closers.push(() => connector.close());
  return connector.connect(host(address));
};

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const serve = async (handler: Handler): Promise<string> => {
  const server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.unshift(async () => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const generation: GenerationRequest = {
  requestId: 'r1',
  attempt: 2,
  item: 'quote-7@3',
  messages: [{ role: 'user', content: 'Draft a quote' }],
  maxTokens: 64,
  priority: 5,
  resume: [],
  traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
};

const call: ServiceCallRequest = {
  requestId: 'r2',
  service: 'deposits',
  call: 'take',
  method: 'POST',
  query: 'hall=3',
  contentType: 'application/json',
  body: new TextEncoder().encode('{"amount":5}'),
  idempotencyKey: 'key-1',
  traceparent: generation.traceparent,
};

const describeResult = (result: Result<unknown, Failure>): string =>
  result.match(
    (value) => JSON.stringify(value),
    ({ kind, message, retryAfterMs }) => `${kind}: ${message} ${retryAfterMs ?? ''}`.trim(),
  );

const collect = async (endpoint: HttpEndpoint, signal = neverAborted): Promise<string[]> => {
  const stream = await endpoint.generate(generation, signal);
  if (stream.isErr()) return [describeResult(stream)];
  const parts: string[] = [];
  for await (const part of stream.value) parts.push(describeResult(part));
  return parts;
};

const event = (data: unknown) => `data: ${JSON.stringify(data)}\n\n`;
const tokens = (offset: number, ...texts: string[]) =>
  event({ id: 'r1', attempt: 2, offset, tokens: texts });
const end = event({ id: 'r1', attempt: 2, offset: 4, end: 'stop' });

const streamHead = { 'content-type': 'text/event-stream' };

// Guards against yielding one part per token, breaking a character that is split across two chunks,
// and dropping parts of other attempts.
test('tokens that arrive together are one part', async () => {
  const otherAttempt = event({ id: 'r1', attempt: 1, offset: 2, tokens: ['x'] });
  const whole = Buffer.from(
    tokens(0, 'a') + tokens(1, 'é') + otherAttempt + tokens(2, 'c', 'd') + end,
  );
  const splitAt = whole.indexOf('é') + 1;
  const address = await serve((_, response) => {
    response.writeHead(200, streamHead).write(whole.subarray(0, splitAt));
    setTimeout(() => response.end(whole.subarray(splitAt)), 30);
  });
  expect(await collect(connect(address))).toMatchSnapshot();
});

// Guards against reporting an incomplete completion as complete, and against reporting `refused` for
// a request that ran.
test('each stream failure maps to its failure kind', async () => {
  const error = { message: 'full', outcome: 'not_run', retryAfterMs: 70 };
  const refusal = JSON.stringify({ error });
  const handlers: Record<string, Handler> = {
    refused: (_, response) => response.writeHead(429).end(refusal),
    conflict: (_, response) => response.writeHead(409).end(refusal),
    unstated: (_, response) => response.writeHead(503).end('overloaded'),
    otherType: (_, response) => response.writeHead(200).end('{}'),
    lateRefusal: (_, response) => response.writeHead(200, streamHead).end(event({ error })),
    contradiction: (_, response) =>
      response.writeHead(200, streamHead).end(tokens(0, 'a') + event({ error })),
    noEnd: (_, response) => response.writeHead(200, streamHead).end(tokens(0, 'a')),
    broken: (request, response) => {
      response.writeHead(200, streamHead).write(tokens(0, 'a'), () => request.socket.destroySoon());
    },
    silent: (_, response) => {
      response.writeHead(200, streamHead).write(tokens(0, 'a'));
    },
    noAnswer: () => {},
    malformed: (_, response) => response.writeHead(200, streamHead).end(event({ tokens: 1 })),
  };
  const seen: Record<string, string[]> = {};
  for (const [name, handler] of Object.entries(handlers)) {
    seen[name] = await collect(connect(await serve(handler), { progressTimeoutMs: 250 }));
  }
  seen.closed = (await collect(connect('127.0.0.1:1'))).map((text) => text.split(':', 1)[0]);
  expect(seen).toMatchSnapshot();
});

// Guards against a refusal that is reported as `unknown` because of a stray part of another attempt.
test('a part of another attempt does not make a refusal unknown', async () => {
  const error = { message: 'full', outcome: 'not_run', retryAfterMs: 70 };
  const stray = event({ id: 'r1', attempt: 1, offset: 0, tokens: ['x'] });
  const address = await serve((_, response) =>
    response.writeHead(200, streamHead).end(stray + event({ error })),
  );
  const seen = await collect(connect(address));
  expect(seen.at(-1)).toMatch(/^refused/u);
});

// Guards against a stream that stays open at the engine after its reader has gone.
test('an abort and an early end of the iteration close the connection', async () => {
  let closed = 0;
  const address = await serve((_, response) => {
    response.writeHead(200, streamHead).write(tokens(0, 'a'));
    response.on('close', () => {
      closed += 1;
    });
  });
  const abort = new AbortController();
  const open = (await connect(address).generate(generation, abort.signal))._unsafeUnwrap();
  const aborted = open[Symbol.asyncIterator]();
  expect((await aborted.next()).value?.isOk()).toBe(true);
  abort.abort();
  expect(describeResult((await aborted.next()).value)).toMatch(/^unknown: the stream broke/);
  const stream = (await connect(address).generate(generation, neverAborted))._unsafeUnwrap();
  const iterator = stream[Symbol.asyncIterator]();
  await iterator.next();
  await iterator.return?.();
  while (closed < 2) await sleep(5);
});

// Guards against unbounded buffering when a caller reads slowly, and against a progress timeout while
// reading is paused.
test('a slow reader pauses the endpoint without a progress timeout', async () => {
  let written = 0;
  const texts = Array.from({ length: 1000 }, () => 'x'.repeat(100));
  const address = await serve((_, response) => {
    response.writeHead(200, streamHead);
    const write = () => {
      while (written < 200) {
        written += 1;
        if (!response.write(tokens((written - 1) * 1000, ...texts))) break;
      }
      if (written < 200) response.once('drain', write);
      else response.end(event({ id: 'r1', attempt: 2, offset: 200_000, end: 'length' }));
    };
    write();
  });
  const endpoint = connect(address, { progressTimeoutMs: 300 });
  const stream = (await endpoint.generate(generation, neverAborted))._unsafeUnwrap();
  await sleep(700);
  expect(written).toBeLessThan(200);
  const parts: StreamPart[] = [];
  for await (const part of stream) parts.push(part._unsafeUnwrap());
  expect(parts[parts.length - 1]).toMatchObject({ kind: 'end', offset: 200_000 });
});

// Guards against a progress timeout caused by a pause of this process: bytes that arrived meanwhile
// wait in the socket when the timer fires.
test('bytes that arrived during a pause count as progress', async () => {
  const address = await serve((_, response) => {
    response.writeHead(200, streamHead).flushHeaders();
    setTimeout(() => {
      response.end(tokens(0, 'a', 'b', 'c', 'd') + end);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 300);
    }, 20);
  });
  const parts = await collect(connect(address, { progressTimeoutMs: 150 }));
  expect(parts.map((part) => part.slice(0, 14))).toEqual(['{"kind":"token', '{"kind":"end",']);
});

// Guards against an engine that sends on after the end of its stream: all of it was read.
test('bytes after the end of a stream are not read without end', async () => {
  let isClosed = false;
  const address = await serve((_, response) => {
    response.writeHead(200, streamHead).write(tokens(0, 'a', 'b', 'c', 'd') + end);
    const piece = ':'.repeat(16_384);
    const send = () => {
      if (isClosed) return;
      if (response.write(piece)) setImmediate(send);
      else response.once('drain', send);
    };
    response.once('close', () => {
      isClosed = true;
    });
    send();
  });
  const parts = await collect(connect(address));
  expect(parts.at(-1)).toMatch(/^\{"kind":"end"/u);
  await sleep(300);
  expect(isClosed).toBe(true);
});

// Guards against losing the idempotency key or trace of a call, and against a wrong outcome for its
// response.
test('plain calls send their headers and report the outcome', async () => {
  const refusal = { error: { message: 'closing', outcome: 'not_run', retryAfterMs: 500 } };
  const answers = [
    { status: 200, body: '{"ok":true}' },
    { status: 404, body: 'no such hall' },
    { status: 503, body: JSON.stringify(refusal) },
    { status: 503, body: 'gateway' },
  ];
  const seen: unknown[] = [];
  const address = await serve((request, response) => {
    const { method, url } = request;
    // The host header contains the port, which differs between runs.
    const headers = { ...request.headers, host: undefined };
    if (seen.length === 0) seen.push({ method, url, headers });
    const { status, body } = answers.shift() ?? { status: 500, body: '' };
    response.writeHead(status, { 'content-type': 'text/plain' }).end(body);
  });
  const endpoint = connect(address);
  for (let index = 0; index < 4; index += 1) {
    const answer = await endpoint.call(call, neverAborted);
    seen.push(describeResult(answer.map((a) => ({ ...a, body: Buffer.from(a.body).toString() }))));
  }
  const silent = connect(await serve(() => {}), { callTimeoutMs: 50 });
  seen.push(describeResult(await silent.call(call, neverAborted)));
  expect(seen).toMatchSnapshot();
});

// Guards against a service's status by which callers would book again, although the call may have run.
test('a status that implies that a call did not run is unknown without a stated outcome', async () => {
  const kindOf = async (status: number, body: string) => {
    const address = await serve((_, response) => response.writeHead(status).end(body));
    const answer = await connect(address).call(call, neverAborted);
    return answer.match(
      ({ status: passedOn }) => passedOn,
      ({ kind }) => kind,
    );
  };
  const stated = JSON.stringify({ error: { message: 'full', outcome: 'not_run' } });
  const seen: Record<number, unknown[]> = {};
  for (const status of [400, 404, 408, 409, 421, 422, 425, 429, 503]) {
    seen[status] = [await kindOf(status, 'failed'), await kindOf(status, stated)];
  }
  // True refusals stay refusals, and other answers reach their callers.
  expect(seen).toEqual({
    400: [400, 'refused'],
    404: [404, 'refused'],
    408: ['unknown', 'refused'],
    409: [409, 'refused'],
    421: ['unknown', 'refused'],
    422: [422, 'refused'],
    425: ['unknown', 'refused'],
    429: ['unknown', 'refused'],
    503: ['unknown', 'refused'],
  });
});

// Guards against differences between the protocol of the adapter and that of the engine stand-in.
test('an engine accepts orders, reports, generates and resumes', async () => {
  const engine = EngineStandin.create({ msPerToken: 0, prefillMs: 0, loadLagMs: 0 });
  const endpoint = connect(await engine.listen());
  closers.push(() => engine.close());
  const order = { epoch: 4, kind: 'load', item: generation.item, bytes: 1e6 } as const;
  expect((await endpoint.order({ ...order, id: 'o1' }, neverAborted)).isOk()).toBe(true);
  const stale = await endpoint.order({ ...order, id: 'o2', epoch: 3 }, neverAborted);
  expect(describeResult(stale)).toBe('refused: epoch 3 is older than 4');
  const whole = expectedTokens(generation);
  const stream = await endpoint.generate(
    { ...generation, resume: whole.slice(0, 10) },
    neverAborted,
  );
  const texts: string[] = [];
  for await (const part of stream._unsafeUnwrap()) {
    const value = part._unsafeUnwrap();
    if (value.kind === 'tokens') texts.push(...value.tokens);
  }
  expect(texts).toEqual(whole.slice(10));
  const report = (await endpoint.report(neverAborted))._unsafeUnwrap();
  expect(report).toMatchObject({ epoch: 4, items: [{ item: generation.item, state: 'ready' }] });
  expect((await endpoint.cacheEvents(0, neverAborted))._unsafeUnwrap()).toEqual([]);
  await endpoint.cancel('r1', 1);
});

// Guards against calls to a replaced host through the adapter of its predecessor.
test('a replaced host gets a new adapter', async () => {
  const connector = HttpEndpointConnector.create();
  closers.push(() => connector.close());
  const first = connector.connect(host('127.0.0.1:1'));
  expect(connector.connect({ ...host('127.0.0.1:1'), state: 'leaving' })).toBe(first);
  expect(connector.connect(host('127.0.0.1:1', 2))).not.toBe(first);
  await sleep(5);
  expect((await first.report(neverAborted))._unsafeUnwrapErr().kind).toBe('unreachable');
});

// Guards against a refusal of an earlier request, written once more on a kept connection, that makes a
// caller repeat what has run.
test('a refusal that names another request leaves the outcome unknown', async () => {
  const refusal = { error: { message: 'full', outcome: 'not_run' } };
  const address = await serve((_request, response) => {
    response.writeHead(503, { 'content-type': 'application/json', 'x-request-id': 'r0' });
    response.end(JSON.stringify(refusal));
  });
  const booking: ServiceCallRequest = {
    requestId: 'r1',
    service: 'ledger',
    call: 'book',
    method: 'POST',
    query: '',
    contentType: 'application/json',
    body: Buffer.from('{}'),
  };
  const endpoint = connect(address);
  const outcomes = [
    await endpoint.call(booking, neverAborted),
    await endpoint.generate(generation, neverAborted).then((result) => result.map(() => undefined)),
    await endpoint.call({ ...booking, requestId: 'r0' }, neverAborted),
  ];
  expect(outcomes.map((outcome) => outcome.isErr() && outcome.error.kind)).toEqual([
    'unknown',
    'unknown',
    'refused',
  ]);
});
