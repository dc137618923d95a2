import { NoopTelemetry } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import type { LeavingMessage } from '../src/connection/peer-messages';
import { LeavingNotices } from '../src/process/leaving-notices';
import { DomainNotices } from '../src/version/domain-notices';
import { encodeMember, type Member, memberPrefix, Members } from '../src/version/members';

const clock = VirtualClock.create();

const memberOf = (index: number): Member => ({
  host: `h${index}`,
  address: `h${index}`,
  domain: `d${index % 3}`,
  processors: 1,
});

/** Creates members that send each other notices, and counts the messages. */
const createFleet = (count: number) => {
  const telemetry = NoopTelemetry.create();
  const all = Array.from({ length: count }, (_, index) => memberOf(index));
  const processes = new Map<string, { notices: LeavingNotices; directory: EndpointDirectory }>();
  let messages = 0;
  all.forEach((self) => {
    const members = Members.create(telemetry, clock);
    members.onListing(
      all.map((member) => ({
        key: memberPrefix + member.host,
        value: encodeMember(member),
        revision: 1,
      })),
    );
    const directory = EndpointDirectory.create();
    directory.put(endpointRecord({ id: 'e1', bornAt: 5 }));
    const domainNotices = DomainNotices.create({
      clock,
      self,
      members,
      send: (address, message) => {
        messages += 1;
        processes.get(address)?.notices.receive(message as LeavingMessage, self.address);
      },
    });
    const notices = LeavingNotices.create({ telemetry, directory, notices: domainNotices });
    processes.set(self.host, { notices, directory });
  });
  const informedCount = () =>
    [...processes.values()].filter(({ directory }) => directory.live('s').length === 0).length;
  return { processes, informedCount, sent: () => messages };
};

// Guards against members that still send to an endpoint which announced to another one that it leaves.
test('all members are notified that an endpoint leaves, with few messages each', () => {
  const { processes, informedCount, sent } = createFleet(60);
  const record = endpointRecord({ id: 'e1', bornAt: 5 });
  const { notices, directory } = processes.get('h7') ?? {};
  directory?.markLeaving('e1', 5);
  notices?.publish(record);
  expect(informedCount()).toBe(60);
  expect(sent()).toBeLessThanOrEqual(60 * 3);
});

// Guards against a domain that is not told because the member that sends the notice is its only relay.
test('a relay forwards its own notices in its failure domain', () => {
  const { processes, informedCount } = createFleet(3);
  const record = endpointRecord({ id: 'e1', bornAt: 5 });
  processes.get('h0')?.directory.markLeaving('e1', 5);
  processes.get('h0')?.notices.publish(record);
  expect(informedCount()).toBe(3);
});

// Guards against dropping an endpoint because an earlier instance with the same id has left.
test('a notice about another instance is ignored', () => {
  const { processes, informedCount } = createFleet(6);
  processes.get('h1')?.notices.publish(endpointRecord({ id: 'e1', bornAt: 4 }));
  expect(informedCount()).toBe(0);
});
