import { SeededRandom } from '@currantdrift/core';
import { MemoryNetwork, VirtualClock } from '@currantdrift/fakes';
import {
  DomainLinks,
  DomainSummaries,
  EndpointDirectory,
  Membership,
  Watchers,
} from '@currantdrift/membership';
import { PeerConnections } from '@currantdrift/peer';
import { pack } from 'msgpackr';
import { host, ReportingEndpoints, startMs } from './domain';

const domains = ['vake', 'isani'] as const;

type DomainName = (typeof domains)[number];

const size = 5;

const itemNames = (count: number) =>
  Array.from({ length: count }, (_each, index) => `quote-7:adapter-${index}@1`);

/** Two domains of five daemons and one engine each, with links between them. */
class TwoDomains {
  readonly clock = VirtualClock.create(startMs);

  readonly network = MemoryNetwork.create(this.clock, { random: SeededRandom.create(3) });

  readonly endpoints = new ReportingEndpoints();

  /** Messages from vake to isani: time in ms and encoded size in bytes. */
  readonly messages: { readonly at: number; readonly bytes: number }[] = [];

  readonly contacts = domains.flatMap((domain, place) =>
    Array.from({ length: size }, (_each, index) => ({
      domain,
      address: `10.${place}.0.${index}:7000`,
    })),
  );

  readonly daemons = this.contacts.map(({ domain, address }, index) =>
    this.daemon(domain, address, index),
  );

  async start(): Promise<void> {
    this.daemons.forEach(({ links, membership, peers, watchers }) => {
      peers.listen().catch(() => {});
      membership
        .start()
        .then(() => {
          watchers.start();
          links.start();
        })
        .catch(() => {});
    });
    await this.clock.advance(30_000);
  }

  setItems(domain: DomainName, items: readonly string[]): void {
    this.endpoints.set(`engine-${domains.indexOf(domain)}`, {
      items: items.map((item) => ({ item, bytes: 1e9, state: 'ready' as const, running: 0 })),
    });
  }

  addresses(domain: DomainName): string[] {
    return this.contacts.filter((each) => each.domain === domain).map(({ address }) => address);
  }

  daemonsOf(domain: DomainName) {
    return this.daemons.filter(({ membership }) => membership.self.domain === domain);
  }

  private daemon(domain: DomainName, address: string, index: number) {
    const clock = this.network.clockOf(address);
    const random = SeededRandom.create(index);
    const peers = PeerConnections.create({ network: this.network.handle(address), clock, address });
    const request = peers.request.bind(peers);
    peers.request = (to, message, timeoutMs) => {
      if (message.kind === 'd.link' && domain === 'vake') {
        this.messages.push({ at: this.clock.now(), bytes: pack(message).length });
      }
      return request(to, message, timeoutMs);
    };
    const self = { name: `daemon-${index}`, address, operatorAddress: '', domain };
    const contacts = () => Promise.resolve(this.addresses(domain));
    const membership = Membership.create({ self, peers, clock, random, contacts });
    const directory = EndpointDirectory.create({ table: membership.dissemination.table, domain });
    const hosts = domains.map((each, place) => host(`engine-${place}`, { domain: each }));
    const connector = this.endpoints;
    const watchers = Watchers.create({
      membership,
      directory,
      connector,
      clock,
      random,
      hosts: () => hosts,
    });
    const summaries = DomainSummaries.create(membership.dissemination);
    const links = DomainLinks.create({
      membership,
      directory,
      summaries,
      peers,
      clock,
      random,
      contacts: () => this.contacts,
      status: () => ({ bundleVersion: 4, spareLevel: 6 }),
    });
    return { links, membership, peers, summaries, watchers };
  }
}

const warmAt = (given: TwoDomains, item: string) =>
  given.daemonsOf('isani').map(({ summaries }) => summaries.domainsWith(item).join());

// Guards against summaries that do not arrive, and against items that stay warm after an unload.
test('items of one domain become warm and cold in the summaries of another', async () => {
  const given = new TwoDomains();
  given.setItems('vake', ['quote-7@3', 'brief-2@1']);
  given.setItems('isani', []);
  await given.start();
  expect(given.daemonsOf('isani')[1].summaries.summary('vake')).toMatchSnapshot();
  expect(warmAt(given, 'quote-7@3')).toEqual(Array(size).fill('vake'));
  given.setItems('vake', ['brief-2@1']);
  await given.clock.advance(20_000);
  expect(warmAt(given, 'quote-7@3')).toEqual(Array(size).fill(''));
  expect(warmAt(given, 'brief-2@1')).toEqual(Array(size).fill('vake'));
});

// Guards against messages between domains that exceed the bandwidth allowed on the paid link.
test('a long list is sent in messages of at most 1 KB, at most one per second', async () => {
  const given = new TwoDomains();
  given.setItems('vake', itemNames(200));
  given.setItems('isani', []);
  await given.start();
  await given.clock.advance(30_000);
  expect(warmAt(given, 'quote-7:adapter-199@1')).toEqual(Array(size).fill('vake'));
  const long = given.messages.filter(({ bytes }) => bytes > 200);
  expect(long.length).toBeGreaterThan(4);
  expect(Math.max(...long.map(({ bytes }) => bytes))).toBeLessThanOrEqual(1024);
  const gaps = long.slice(1).map(({ at }, index) => at - long[index].at);
  expect(Math.min(...gaps)).toBeGreaterThanOrEqual(1000);
});

// Guards against routing to an unreachable domain, and against a domain that loses its own members
// together with the link.
test('a partitioned domain treats the other as stale and keeps its own members', async () => {
  const given = new TwoDomains();
  given.setItems('vake', ['quote-7@3']);
  given.setItems('isani', ['brief-2@1']);
  await given.start();
  given.network.cut(given.addresses('vake'), given.addresses('isani'));
  await given.clock.advance(25_000);
  expect(warmAt(given, 'quote-7@3')).toEqual(Array(size).fill(''));
  expect(given.daemonsOf('isani').map(({ membership }) => membership.alive().length)).toEqual(
    Array(size).fill(size),
  );
  given.network.heal(given.addresses('vake'), given.addresses('isani'));
  await given.clock.advance(25_000);
  expect(warmAt(given, 'quote-7@3')).toEqual(Array(size).fill('vake'));
});

// Guards against a link that is not reestablished after its sending relay dies.
test('the second relay takes over from a dead relay', async () => {
  const given = new TwoDomains();
  given.setItems('vake', ['quote-7@3']);
  given.setItems('isani', []);
  await given.start();
  const [first] = given.daemonsOf('vake')[0].links.relays();
  const victim = given.daemons.find(({ membership }) => membership.self.name === first);
  if (victim === undefined) throw new Error('relay not found');
  given.network.kill(victim.membership.self.address);
  [victim.links, victim.membership, victim.watchers].forEach((each) => each.stop());
  victim.peers.close().catch(() => {});
  await given.clock.advance(25_000);
  given.setItems('vake', ['quote-7@3', 'brief-2@1']);
  await given.clock.advance(20_000);
  expect(warmAt(given, 'brief-2@1')).toEqual(Array(size).fill('vake'));
});
