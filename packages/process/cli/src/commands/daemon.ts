import type { Explanation, StatusReport } from '@currantdrift/node';
import { err } from 'neverthrow';
import type { Command } from '../command';
import { DaemonClient, daemonOptions } from '../daemon-client';

const bytesPerGigabyte = 1e9;

const gigabytes = (bytes: number): string => `${(bytes / bytesPerGigabyte).toFixed(1)} GB`;

const statusLines = (status: StatusReport): string[] => [
  `${status.name} in ${status.domain} (${status.region}): bundle ${status.bundleVersion}, ${
    status.ready ? 'ready' : 'not ready'
  }, ${status.openRequests} open, ${status.waitingRequests} waiting`,
  'domains:',
  ...status.domains.map(
    ({ name, reachable, warmItems }) =>
      `  ${name}: ${reachable ? 'reachable' : 'not reachable'}, ${warmItems} warm`,
  ),
  'daemons:',
  ...status.members.map(
    (member) =>
      `  ${member.name} ${member.address} ${member.status}${member.controller ? ', controller' : ''}`,
  ),
  'endpoints:',
  ...status.endpoints.map((endpoint) => {
    const flags = [
      endpoint.drained ? 'drained' : '',
      endpoint.reachable ? '' : 'not reachable',
      endpoint.fencing || endpoint.kind !== 'engine' ? '' : 'no fencing',
    ].filter((flag) => flag !== '');
    const items = endpoint.items.map(({ item, state }) =>
      state === 'ready' ? item : `${item} (${state})`,
    );
    const memory = `${gigabytes(endpoint.usedBytes)} of ${gigabytes(endpoint.memoryBytes)}`;
    return `  ${endpoint.name} ${endpoint.pool} ${[endpoint.state, ...flags].join(', ')}: ${memory}, load ${endpoint.level}/8: ${items.join(' ') || 'no items'}`;
  }),
  status.inDoubt.length === 0 ? 'orders in doubt: none' : 'orders in doubt:',
  ...status.inDoubt.map(
    ({ endpoint, item, kind, epoch }) => `  ${kind} ${item} at ${endpoint}, epoch ${epoch}`,
  ),
];

/** `status` */
export const status: Command = {
  name: 'status',
  operands: [],
  summary: 'Show domains, daemons, endpoints, replicas, queue and orders in doubt',
  options: daemonOptions,
  examples: ['currantdrift status', 'currantdrift status --json'],
  run: async (_operands, options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const report = await client.value.get('/status');
    return report.map((value) => ({ lines: statusLines(value as StatusReport), value }));
  },
};

/** `drain` */
export const drain: Command = {
  name: 'drain',
  operands: ['ENDPOINT|HOST'],
  summary: 'Stop sending new work to an endpoint or host; running requests finish',
  options: {
    ...daemonOptions,
    undo: { type: 'boolean', help: 'resume sending work to it' },
  },
  examples: ['currantdrift drain engine-3', 'currantdrift drain engine-3 --undo'],
  run: async ([target], options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const drained = options.undo !== true;
    const answer = await client.value.post('/drain', { target, drained });
    return answer.map((value) => ({
      lines: [drained ? `${target} gets no new work` : `${target} gets work again`],
      value,
    }));
  },
};

const explanationLines = (explanation: Explanation): string[] => [
  `${explanation.itemKey}: at most ${explanation.limit} replicas over all domains`,
  ...explanation.domains.map(
    ({ name, allotment, warm, reachable }) =>
      `  ${name}: may hold ${allotment}, ${warm ? 'warm' : 'cold'}${reachable ? '' : ', not reachable'}`,
  ),
  `replicas in this domain: ${explanation.replicas.join(' ') || 'none'}`,
  'a request that arrives here tries:',
  ...explanation.route.map(({ domain, reason }, index) => `  ${index + 1}. ${domain} (${reason})`),
  ...explanation.placement,
];

/** `explain` */
export const explain: Command = {
  name: 'explain',
  operands: ['MODEL'],
  summary: 'Say why a model or adapter is or is not warm, and where a request would go',
  options: daemonOptions,
  examples: ['currantdrift explain quote-7', 'currantdrift explain quote-7:venues'],
  run: async ([item], options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const answer = await client.value.get(`/explain/${encodeURIComponent(item)}`);
    return answer.map((value) => ({ lines: explanationLines(value as Explanation), value }));
  },
};
