import { SilentTelemetry } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { InventoryBroadcaster } from '../src/process/inventory-broadcaster';
import { encodeMember, memberPrefix, Members } from '../src/version/members';

/** Members of two failure domains; the messages between them arrive at once. */
const createMembers = (perDomain: number) => {
  const clock = VirtualClock.create();
  const names = ['north', 'south'].flatMap((domain) =>
    Array.from({ length: perDomain }, (_, index) => ({
      host: `${domain}-${index}`,
      address: `${domain}-${index}`,
      domain,
      processors: 1,
    })),
  );
  const entries = names.map((member, index) => ({
    key: memberPrefix + member.host,
    value: encodeMember(member),
    revision: index + 1,
  }));
  const sends: { from: string; to: string }[] = [];
  const lost = new Set<string>();
  const reporting = new Set(names.map(({ host }) => host));
  const inboxes = new Map<string, InventoryBroadcaster>();
  const processes = names.map((self) => {
    const members = Members.create(SilentTelemetry.create(), clock);
    members.onListing(entries);
    const directory = EndpointDirectory.create();
    directory.put(endpointRecord());
    const announcements = InventoryBroadcaster.create({
      clock,
      self,
      members,
      directory,
      onLoads: () => {},
      hasReported: (host) => reporting.has(host),
      send: (to, message) => {
        sends.push({ from: self.host, to });
        if (!lost.has(to)) inboxes.get(to)?.receive(message);
      },
    });
    inboxes.set(self.host, announcements);
    const held = () => directory.models('e1', clock.now()).map(({ name }) => name);
    return { self, announcements, held };
  });
  return { clock, processes, sends, lost, reporting };
};

const inventory = (...models: string[]) => [
  { endpoint: 'e1', bornAt: 1, models: models.map((name) => ({ name, adapters: [] })) },
];

describe('the controller tells many members what engines serve', () => {
  // Guards against a controller whose messages to other domains grow with the daemons there.
  test('another domain hears it from one watcher', () => {
    const { processes, sends } = createMembers(20);
    const [controller] = processes;
    controller.announcements.announce(1, inventory('a'), []);
    expect(processes.every(({ held }) => held().includes('a'))).toBe(true);
    const abroad = sends.filter(
      ({ from, to }) => from === controller.self.host && to.startsWith('south'),
    );
    expect(abroad).toHaveLength(1);
  });

  // Guards against a domain that hears nothing because one of its watchers is gone.
  test('a watcher that has not reported for a while is not relied on', () => {
    const { processes, sends, lost, reporting } = createMembers(20);
    const [controller] = processes;
    controller.announcements.announce(1, inventory('a'), []);
    const [watcher] = sends.filter(({ to }) => to.startsWith('south')).map(({ to }) => to);
    lost.add(watcher);
    reporting.delete(watcher);
    controller.announcements.announce(1, inventory('b'), []);
    const others = processes.filter(({ self }) => self.host !== watcher);
    expect(others.every(({ held }) => held().includes('b'))).toBe(true);
  });

  // Guards against an announcement that arrives late and replaces a newer one.
  test('older announcements and older controllers change nothing', () => {
    const { processes } = createMembers(2);
    const [, member] = processes;
    const message = { kind: 'gateway.inventory', passOn: false } as const;
    const at = (fence: number, number: number, model: string) => {
      const inventories = inventory(model);
      member.announcements.receive({ ...message, fence, number, inventories, loads: [] });
      return member.held();
    };
    expect(at(2, 5, 'new')).toEqual(['new']);
    expect(at(2, 4, 'late')).toEqual(['new']);
    expect(at(1, 9, 'older controller')).toEqual(['new']);
    expect(at(3, 1, 'newer controller')).toEqual(['newer controller']);
  });
});
