import type { Message, Peers } from '@currantdrift/core';
import { SeededRandom } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import type { DomainSummaries } from '@currantdrift/membership';
import { err, ok } from 'neverthrow';
import type { CrashFact } from '../src/process/crash-facts';
import { CrashLinks } from '../src/process/crash-links';

const fact = (number: number): CrashFact => ({
  domain: 'perth-north',
  daemon: 'north-1',
  rank: [1, number],
  value: { crashes: [], cleared: [] },
});

/** Links to two domains, whose answers and messages the test controls. */
const start = () => {
  const clock = VirtualClock.create(1_000);
  const sent: string[] = [];
  const received: CrashFact[] = [];
  const unreachable = new Set<string>();
  let handler: (message: Message) => unknown = () => undefined;
  const peers = {
    request: async (address: string, message: Message) => {
      sent.push(`${clock.now() - 1_000} ms ${address} ${String(message.rank)}`);
      return unreachable.has(address)
        ? err({ kind: 'unreachable', step: 'peer', peer: address, message: 'cut' })
        : ok({ kind: 'k.facts' });
    },
    onRequest: (_kind: string, handle: typeof handler) => {
      handler = handle;
    },
  } as unknown as Peers;
  const summaries = {
    domains: () => ['kal-east', 'perth-south'],
    summary: (domain: string) => ({ entries: [`${domain}:1`] }),
  } as unknown as DomainSummaries;
  const links = CrashLinks.create({
    peers,
    summaries,
    clock,
    random: SeededRandom.create(1),
    onFact: (one) => received.push(one),
  });
  const stop = new AbortController();
  links.run(stop.signal).catch(() => {});
  return { clock, links, sent, received, unreachable, receive: (one: Message) => handler(one) };
};

test('a fact goes to each domain once', async () => {
  const { clock, links, sent } = start();
  links.publish(fact(1));
  await clock.advance(5_000);
  links.publish(fact(2));
  await clock.advance(5_000);
  expect(sent).toMatchSnapshot();
});

// Guards against a domain that never hears of a crash because it was cut off at that moment.
test('a domain that does not answer gets the newest fact later', async () => {
  const { clock, links, sent, unreachable } = start();
  unreachable.add('kal-east:1');
  links.publish(fact(1));
  await clock.advance(700);
  links.publish(fact(2));
  await clock.advance(700);
  unreachable.clear();
  await clock.advance(5_000);
  expect(sent).toMatchSnapshot();
});

test('a domain that stays silent is given up', async () => {
  const { clock, links, sent, unreachable } = start();
  unreachable.add('kal-east:1');
  links.publish(fact(1));
  await clock.advance(70_000);
  const before = sent.length;
  await clock.advance(60_000);
  expect(sent.length).toBe(before);
});

test('facts of other domains are passed on, malformed ones are not', () => {
  const { received, receive } = start();
  receive({ kind: 'k.facts', ...fact(1) });
  receive({ kind: 'k.facts', ...fact(1), rank: [1] });
  receive({ kind: 'k.facts', ...fact(1), daemon: 7 });
  receive({ kind: 'k.facts' });
  expect(received).toEqual([fact(1)]);
});
