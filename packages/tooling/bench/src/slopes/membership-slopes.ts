import { SystemClock } from '@currantdrift/core';
import { measureMembership } from '@currantdrift/membership';
import { PeerConnections, WebSocketNetwork } from '@currantdrift/peer';
import { type Slope, slopeOf } from './slope';

/** Members of a domain; the domains run side by side in this process. */
const sizes = [5, 10, 20, 40];

const firstPort = 29_600;

const settleMs = 25_000;
const durationMs = 30_000;

const clock = SystemClock.create();

const open = async (address: string): Promise<PeerConnections> => {
  const peers = PeerConnections.create({ network: WebSocketNetwork.create(), clock, address });
  const listening = await peers.listen();
  if (listening.isErr()) throw new Error(listening.error.message);
  return peers;
};

const measureSize = (members: number) => {
  const addresses = Array.from(
    { length: members },
    (_each, index) => `127.0.0.1:${firstPort + members + index}`,
  );
  return measureMembership({ members, addresses, settleMs, durationMs, clock, peers: open });
};

/** Control bytes of a member with 10 engines, whose loads change with each report. */
export const measureMembers = async (): Promise<readonly Slope[]> => {
  const costs = await Promise.all(sizes.map(measureSize));
  const common = {
    unit: 'bytes/s',
    per: 'members of the domain, 10 endpoints each',
    method:
      'in-process members over 127.0.0.1; loads change each second, items of one endpoint each 10 s',
    sizes,
  };
  return [
    slopeOf({
      ...common,
      name: 'control bytes with changing loads',
      unit: 'bytes/s, both directions',
      values: costs.map((cost) => cost.bytesInPerSecond + cost.bytesOutPerSecond),
    }),
    slopeOf({
      ...common,
      name: 'control bytes sent, most loaded member, changing loads',
      values: costs.map((cost) => cost.maxBytesOutPerSecond),
    }),
  ];
};
