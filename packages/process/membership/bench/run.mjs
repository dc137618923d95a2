// Measures the cost of membership over WebSockets on 127.0.0.1.
// node --expose-gc bench/run.mjs MEMBERS [FIRST COUNT]
// With FIRST and COUNT the process runs only these members; start one process per part together.
// One core can start about 40 members; run 80 in parts of 20.
import { SystemClock } from '@currantdrift/core';
import { measureMembership } from '@currantdrift/membership';
import { PeerConnections, WebSocketNetwork } from '@currantdrift/peer';

const firstPort = 21_000;
const portsPerSize = 100;
const settleMs = 25_000;
const durationMs = 30_000;

const clock = SystemClock.create();

const [members = 20, first = 0, count = members] = process.argv.slice(2).map(Number);

const addresses = Array.from(
  { length: members },
  (_each, index) => `127.0.0.1:${firstPort + members * portsPerSize + index}`,
);

const peers = async (address) => {
  const connections = PeerConnections.create({
    network: WebSocketNetwork.create(),
    clock,
    address,
  });
  const listening = await connections.listen();
  if (listening.isErr()) throw new Error(listening.error.message);
  return connections;
};

const options = { members, first, count, addresses, settleMs, durationMs, clock, peers };
console.log(JSON.stringify(await measureMembership(options)));
