import { NoopTelemetry } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { InventoryBroadcaster } from '../src/process/inventory-broadcaster';
import { encodeMember, memberPrefix, Members } from '../src/version/members';

/** Creates members of two failure domains; messages between them are delivered synchronously. */
const createMembers = (perDomain: number) => {
  const clock = VirtualClock.create();
  const allMembers = ['north', 'south'].flatMap((domain) =>
    Array.from({ length: perDomain }, (_, index) => ({
      host: `${domain}-${index}`,
      address: `${domain}-${index}`,
      domain,
      processors: 1,
    })),
  );
  const entries = allMembers.map((member, index) => ({
    key: memberPrefix + member.host,
    value: encodeMember(member),
    revision: index + 1,
  }));
  const sends: { from: string; to: string }[] = [];
  const lost = new Set<string>();
  const reporting = new Set(allMembers.map(({ host }) => host));
  const broadcasters = new Map<string, InventoryBroadcaster>();
  const processes = allMembers.map((self) => {
    const members = Members.create(NoopTelemetry.create(), clock);
    members.onListing(entries);
    const directory = EndpointDirectory.create();
    directory.put(endpointRecord());
    const loads: number[] = [];
    const broadcaster = InventoryBroadcaster.create({
      clock,
      self,
      members,
      directory,
      onLoads: (applied) => loads.push(...applied.map(({ inFlight }) => inFlight)),
      onLimits: (limits) => directory.limits.merge(limits, clock.now()),
      hasReported: (host) => reporting.has(host),
      send: (to, message) => {
        sends.push({ from: self.host, to });
        if (!lost.has(to)) broadcasters.get(to)?.receive(message);
      },
    });
    broadcasters.set(self.host, broadcaster);
    const held = () => directory.models('e1', clock.now()).map(({ name }) => name);
    return { self, broadcaster, held, loads };
  });
  return { clock, processes, sends, lost, reporting };
};

const inventory = (...models: string[]) => [
  { endpoint: 'e1', bornAt: 1, models: models.map((name) => ({ name, adapters: [] })) },
];

describe('announcements of the controller to many members', () => {
  // Guards against a number of messages to another domain that grows with the number of its daemons.
  test('a large remote domain gets an announcement through one relay', () => {
    const { processes, sends } = createMembers(20);
    const [controller] = processes;
    controller.broadcaster.announce(1, { inventories: inventory('a'), loads: [], limits: [] });
    expect(processes.every(({ held }) => held().includes('a'))).toBe(true);
    const remoteSends = sends.filter(
      ({ from, to }) => from === controller.self.host && to.startsWith('south'),
    );
    expect(remoteSends).toHaveLength(1);
  });

  // Guards against a domain that gets no announcements because one of its relays is down.
  test('a relay without a recent usage report is not used', () => {
    const { processes, sends, lost, reporting } = createMembers(20);
    const [controller] = processes;
    controller.broadcaster.announce(1, { inventories: inventory('a'), loads: [], limits: [] });
    const [relay] = sends.filter(({ to }) => to.startsWith('south')).map(({ to }) => to);
    lost.add(relay);
    reporting.delete(relay);
    controller.broadcaster.announce(1, { inventories: inventory('b'), loads: [], limits: [] });
    const others = processes.filter(({ self }) => self.host !== relay);
    expect(others.every(({ held }) => held().includes('b'))).toBe(true);
  });

  // Guards against requests in flight that a delayed announcement sets back.
  test('delayed numbers of requests in flight are ignored', () => {
    const { processes } = createMembers(2);
    const [, member] = processes;
    const message = { kind: 'gateway.inventory', passOn: false, inventories: [] } as const;
    [
      { number: 5, inFlight: 50 },
      { number: 4, inFlight: 40 },
      { number: 6, inFlight: 60 },
    ].forEach(({ number, inFlight }) =>
      member.broadcaster.receive({
        ...message,
        inventories: [],
        fence: 2,
        number,
        loads: [{ endpoint: 'e1', inFlight }],
        limits: [],
      }),
    );
    expect(member.loads).toEqual([50, 60]);
  });

  // Guards against a delayed announcement that replaces a newer one.
  test('announcements with an older number or fencing token are ignored', () => {
    const { processes } = createMembers(2);
    const [, member] = processes;
    const message = { kind: 'gateway.inventory', passOn: false } as const;
    const at = (fence: number, number: number, model: string) => {
      const inventories = inventory(model);
      member.broadcaster.receive({ ...message, fence, number, inventories, loads: [], limits: [] });
      return member.held();
    };
    expect(at(2, 5, 'new')).toEqual(['new']);
    expect(at(2, 4, 'late')).toEqual(['new']);
    expect(at(1, 9, 'older controller')).toEqual(['new']);
    expect(at(3, 1, 'newer controller')).toEqual(['newer controller']);
  });
});
