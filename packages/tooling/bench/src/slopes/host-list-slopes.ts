import { createServer, type Socket, connect } from 'node:net';
import { HttpHostList } from '@currantdrift/platform';
import { HostsStandin } from '@currantdrift/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { type Slope, slopeOf } from './slope';

/** Hosts of a domain at the target size. */
const [daemonsPerDomain, enginesPerDomain] = [38, 358];

const domainCounts = [3, 6, 12];

const range = (count: number): number[] => Array.from({ length: count }, (_each, index) => index);

const hostsOf = (domains: number) =>
  range(domains).flatMap((domain) => [
    ...range(daemonsPerDomain).map((index) => ({
      name: `daemon-${domain}-${index}`,
      kind: 'daemon' as const,
      domain: `domain-${domain}`,
      address: `10.${domain}.0.${index}:7100`,
    })),
    ...range(enginesPerDomain).map((index) => ({
      name: `engine-${domain}-${index}`,
      kind: 'engine' as const,
      domain: `domain-${domain}`,
      address: `10.${domain}.${1 + Math.floor(index / 250)}.${index % 250}:8000`,
      pool: 'drafting',
      fencing: true,
    })),
  ]);

/** Passes bytes on to `port` and counts them in both directions. */
const countBytes = async (port: number) => {
  const counter = { bytes: 0 };
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(port, '127.0.0.1');
    const pass = (from: Socket, to: Socket) => {
      sockets.add(from);
      from.on('data', (data) => {
        counter.bytes += data.length;
        to.write(data);
      });
      from.on('close', () => to.destroy());
      from.on('error', () => to.destroy());
    };
    pass(near, far);
    pass(far, near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  const ownPort = typeof address === 'object' ? address?.port : undefined;
  const close = () => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  };
  return { counter, address: `127.0.0.1:${ownPort}`, close };
};

const measureSize = async (domains: number) => {
  const standin = HostsStandin.create({ lagMs: 0, hosts: hostsOf(domains) });
  const address = await standin.listen();
  const proxy = await countBytes(Number(address.split(':')[1]));
  const list = HttpHostList.create({ address: proxy.address, timeoutMs: 5000 });
  const bytesOf = async (read: () => Promise<unknown>): Promise<number> => {
    proxy.counter.bytes = 0;
    await read();
    return proxy.counter.bytes;
  };
  const whole = await bytesOf(() => list.read());
  const scoped = await bytesOf(() => list.readDomain('domain-1'));
  const unchanged = await bytesOf(() => list.readDomain('domain-1'));
  standin.change({ action: 'leaving', name: 'engine-1-7' });
  await sleep(5);
  const changed = await bytesOf(() => list.readDomain('domain-1'));
  await list.close();
  proxy.close();
  await standin.close();
  return { whole, scoped, unchanged, changed };
};

/** Bytes of a read of the host list, over the number of hosts. */
export const measureHostList = async (): Promise<readonly Slope[]> => {
  const sizes = domainCounts.map((domains) => domains * (daemonsPerDomain + enginesPerDomain));
  const figures: Awaited<ReturnType<typeof measureSize>>[] = [];
  for (const domains of domainCounts) figures.push(await measureSize(domains));
  const slope = (name: string, field: 'whole' | 'scoped' | 'unchanged' | 'changed') =>
    slopeOf({
      name,
      unit: 'bytes',
      per: 'hosts of all domains',
      method: 'HTTP over 127.0.0.1 to the stand-in, both directions with headers',
      sizes,
      values: figures.map((each) => each[field]),
    });
  return [
    slope('bytes of the whole host list', 'whole'),
    slope('bytes of the host list of one domain', 'scoped'),
    slope('bytes of an unchanged host list', 'unchanged'),
    slope('bytes of one changed host', 'changed'),
  ];
};
