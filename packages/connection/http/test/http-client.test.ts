import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { HttpClient } from '../src';

const limits = {
  connectTimeoutMs: 500,
  highWaterBytes: 65_536,
  maxAnswerBytes: 1_000_000,
  singleUse: true,
};

/** Calls `serve` for each connection once a request has arrived. */
const listen = async (serve: (socket: Socket) => void): Promise<Server> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => serve(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

const call = async (serve: (socket: Socket) => void, maySend?: () => boolean) => {
  const server = await listen(serve);
  const { port } = server.address() as AddressInfo;
  const client = HttpClient.create(`127.0.0.1:${port}`, 'endpoint', limits);
  const answer = await client.whole({ step: 'test', method: 'GET', path: '/', maySend }, 1_000);
  await client.close();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return answer.isOk() ? { body: answer.value.body.toString() } : { failure: answer.error.kind };
};

const later = (action: () => void) => {
  setTimeout(action, 20);
};

// Guards against a request that became invalid while its connection opened, for example in a freeze.
test('a request that may not be sent any more is not written', async () => {
  let received = 0;
  const serve = () => {
    received += 1;
  };
  expect(await call(serve, () => false)).toEqual({ failure: 'unreachable' });
  expect(received).toBe(0);
});

describe('the end of a response', () => {
  const head = 'HTTP/1.1 200 OK\r\n';

  // Guards against passing on a truncated response as complete when its sender is cut off.
  it.each([
    [
      'without a length, reset after a part',
      (socket: Socket) => {
        socket.write(`${head}\r\npart`);
        later(() => socket.resetAndDestroy());
      },
    ],
    [
      'without a length, reset after a part, with Connection: close',
      (socket: Socket) => {
        socket.write(`${head}Connection: close\r\n\r\npart`);
        later(() => socket.resetAndDestroy());
      },
    ],
    [
      'with a length, closed after a part',
      (socket: Socket) => socket.end(`${head}Content-Length: 10\r\n\r\npart`),
    ],
    [
      'with a length, reset after a part',
      (socket: Socket) => {
        socket.write(`${head}Content-Length: 10\r\n\r\npart`);
        later(() => socket.resetAndDestroy());
      },
    ],
    [
      'in chunks, closed before the last one',
      (socket: Socket) =>
        socket.end(`${head}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\npart\r\n`),
    ],
    [
      'in chunks, reset before the last one',
      (socket: Socket) => {
        socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
        later(() => socket.resetAndDestroy());
      },
    ],
  ])('%s is not complete', async (_name, serve) => {
    expect(await call(serve)).toEqual({ failure: 'unknown' });
  });

  it('without a length is complete when the connection is closed normally', async () => {
    const answer = await call((socket) => socket.end(`${head}\r\nwhole`));
    expect(answer).toEqual({ body: 'whole' });
  });

  it('is not followed by bytes of another response', async () => {
    const extra = `${head}Content-Length: 5\r\n\r\nextra`;
    const answer = await call((socket) =>
      socket.end(`${head}Content-Length: 5\r\n\r\nfirst${extra}`),
    );
    expect(answer).toEqual({ body: 'first' });
  });
});

describe('a connection that `mayUse` rejects', () => {
  const callGuarded = async (port: number) => {
    const client = HttpClient.create(`127.0.0.1:${port}`, 'endpoint', {
      ...limits,
      mayUse: () => false,
    });
    const answer = await client.whole({ step: 'test', method: 'GET', path: '/' }, 1_000);
    await client.close();
    return answer.isOk() ? 'answered' : answer.error.kind;
  };

  test('carries no request', async () => {
    let requests = 0;
    const server = await listen(() => {
      requests += 1;
    });
    const { port } = server.address() as AddressInfo;
    expect(await callGuarded(port)).toBe('unreachable');
    expect(requests).toBe(0);
    server.close();
  });

  // Guards against a crash of this process when the server refuses the connection after `mayUse` has
  // turned false.
  test('may be refused by the server', async () => {
    const server = await listen(() => {});
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await callGuarded(port)).toBe('unreachable');
  });
});

describe('the status of a response', () => {
  const answerWith = async (...statuses: number[]): Promise<string[]> => {
    const server = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', () => {
        const response = `HTTP/1.1 ${statuses.shift()} X\r\nContent-Length: 2\r\n\r\nok`;
        socket.write(response.slice(0, 12));
        later(() => socket.write(response.slice(12)));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const settings = { ...limits, singleUse: false };
    const client = HttpClient.create(`127.0.0.1:${port}`, 'endpoint', settings);
    const seen: string[] = [];
    while (statuses.length > 0) {
      const answer = await client.whole({ step: 'test', method: 'GET', path: '/' }, 1_000);
      seen.push(answer.isOk() ? String(answer.value.status) : answer.error.kind);
    }
    await client.close();
    server.close();
    return seen;
  };

  // Guards against a number that is no status of HTTP reaching the callers of either program.
  it.each([600, 999])('%d fails, also on a connection that was kept', async (status) => {
    expect(await answerWith(200, status, 599, 200)).toEqual(['200', 'unknown', '599', '200']);
  });
});
