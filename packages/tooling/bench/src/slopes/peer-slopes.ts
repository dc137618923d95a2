import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '@currantdrift/core';
import { PeerConnections, WebSocketNetwork } from '@currantdrift/peer';
import { usedBytes } from './cost';
import { type Slope, slopeOf } from './slope';

const sizes = [20, 40, 80];

/** Ports on 127.0.0.1 of the process in the middle and of its peers. */
const firstPort = 29_700;

const windowMs = 10_000;

const open = async (port: number): Promise<PeerConnections> => {
  const address = `127.0.0.1:${port}`;
  const clock = SystemClock.create();
  const peers = PeerConnections.create({ network: WebSocketNetwork.create(), clock, address });
  const listening = await peers.listen();
  if (listening.isErr()) throw new Error(listening.error.message);
  return peers;
};

/** Cost of one end of an idle connection; both ends run in this process. */
const measureSize = async (count: number) => {
  const hub = await open(firstPort);
  const others = await Promise.all(
    Array.from({ length: count }, (_each, index) => open(firstPort + 1 + index)),
  );
  const memory = usedBytes();
  const pings = await Promise.all(
    others.map((peers) => peers.reconnect(`127.0.0.1:${firstPort}`, 5000)),
  );
  pings.forEach((ping) => {
    if (ping.isErr()) throw new Error(ping.error.message);
  });
  await sleep(500);
  const kept = (usedBytes() - memory) / 2;
  const before = { traffic: hub.traffic.control, cpu: process.cpuUsage(), at: performance.now() };
  await sleep(windowMs);
  const cpu = process.cpuUsage(before.cpu);
  const seconds = (performance.now() - before.at) / 1000;
  const { bytesIn, bytesOut } = hub.traffic.control;
  const bytes = bytesIn + bytesOut - before.traffic.bytesIn - before.traffic.bytesOut;
  await Promise.all([hub, ...others].map((peers) => peers.close()));
  return { kept, bytes: bytes / seconds, cpu: (cpu.user + cpu.system) / 2 / seconds };
};

/** Memory, bytes and CPU of connections that carry only heartbeats. */
export const measurePeers = async (): Promise<readonly Slope[]> => {
  await measureSize(sizes[0]);
  const figures: Awaited<ReturnType<typeof measureSize>>[] = [];
  for (const size of sizes) figures.push(await measureSize(size));
  const method = 'in-process over 127.0.0.1: one end of a connection with heartbeats only';
  const common = { per: 'connected peers', method, sizes };
  return [
    slopeOf({
      ...common,
      name: 'memory per peer',
      unit: 'bytes',
      values: figures.map(({ kept }) => kept),
    }),
    slopeOf({
      ...common,
      name: 'bytes of heartbeats',
      unit: 'bytes/s, both directions',
      values: figures.map(({ bytes }) => bytes),
    }),
    slopeOf({
      ...common,
      name: 'CPU of heartbeats',
      unit: 'microseconds/s',
      values: figures.map(({ cpu }) => cpu),
    }),
  ];
};
