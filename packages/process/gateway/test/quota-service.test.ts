import { type Message, NoopTelemetry, type Peers, SeededRandom } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { type QuotaAnswer, rankMembers } from '@currantdrift/quota';
import { type Configuration, CustomerTable, type Quota, QuotaUnit } from '@currantdrift/routes';
import { ok } from 'neverthrow';
import {
  PeerMessageKind,
  quotaRequestSchema,
  quotaReturnMessageSchema,
} from '../src/connection/peer-messages';
import { QuotaService } from '../src/process/quota-service';
import { encodeMember, type Member, memberPrefix, Members } from '../src/version/members';

const hosts = ['h1', 'h2', 'h3'];
const [first, second, third] = rankMembers('acme', hosts);

const memberOf = (host: string): Member => ({
  host,
  address: host,
  domain: 'north',
  processors: 1,
});

const entryOf = (host: string) => ({
  key: memberPrefix + host,
  value: encodeMember(memberOf(host)),
  revision: 1,
});

const configurationOf = (ratePerS: number): Configuration => {
  const quota: Quota = { unit: QuotaUnit.tokens, ratePerS, burst: 0, plainCost: 0 };
  const customer = { name: 'acme', priority: undefined, quota };
  return { customers: CustomerTable.create([{ customer, keyDigests: [] }]) } as Configuration;
};

/** Three processes that have been members for a minute, with the rates that each knows. */
const create = async (rates: Record<string, number> = {}) => {
  const clock = VirtualClock.create();
  const services = new Map<string, QuotaService>();
  const ages = new Map<string, number>();
  const lists: Members[] = [];
  const request = async (address: string, message: Message) => {
    const service = services.get(address) as QuotaService;
    const response =
      message.kind === PeerMessageKind.quotaHandover
        ? service.handOver(String(message.customer))
        : await service.respond(quotaRequestSchema.parse(message));
    return ok(response ?? { kind: 'elsewhere' });
  };
  const notify = (address: string, message: Message) =>
    services.get(address)?.receiveReturn(quotaReturnMessageSchema.parse(message));
  hosts.forEach((host) => {
    const telemetry = NoopTelemetry.create();
    const members = Members.create(telemetry, clock);
    const service = QuotaService.create({
      clock,
      random: SeededRandom.create(1),
      telemetry,
      peers: { request, notify } as unknown as Peers,
      self: memberOf(host),
      members,
      bounds: { windowMs: 8_000, excess: 0.1, slack: 1_000 },
      configuration: () => configurationOf(rates[host] ?? 1_000),
      membersAgeMs: () => ages.get(host) ?? 0,
      changeBoundMs: 2_500,
      ageMs: (since, now) => now - since,
    });
    service.tick(0);
    lists.push(members);
    services.set(host, service);
  });
  const publish = (registered: readonly string[]) =>
    lists.forEach((members) => members.onListing(registered.map(entryOf)));
  publish(hosts);
  await clock.advance(60_000);
  const ask = (host: string, cost: number, rank = 0): Promise<QuotaAnswer> =>
    (services.get(host) as QuotaService).ask('acme', { costs: [cost], ahead: 0, unused: 0 }, rank);
  const giveBack = (host: string, grant: number, tokens: number) =>
    services.get(host)?.giveBack('acme', { grant, tokens }, first);
  return { clock, ages, ask, giveBack, publish };
};

test('the members ask the one that is first for the customer', async () => {
  const { ask, giveBack } = await create();
  const granted = await ask(third, 900);
  expect(granted).toMatchObject({ issuer: first, decision: { role: 'owner', waitsMs: [0] } });
  expect(await ask(second, 150)).not.toMatchObject({ decision: { waitsMs: [0] } });
  if (typeof granted === 'object') giveBack(third, granted.decision.grant, 500);
  expect(await ask(second, 150)).toMatchObject({ decision: { waitsMs: [0] } });
});

// Guards against members that go on with a former quota of which they have not learnt.
test('the configuration of the owner decides', async () => {
  const { ask } = await create({ [first]: 10 });
  const answers = [await ask(third, 500), await ask(third, 500)];
  const waits = answers.map((answer) =>
    typeof answer === 'object' ? answer.decision.waitsMs : [],
  );
  expect(waits[0]).toEqual([0]);
  expect(waits[1][0]).toBeGreaterThan(40_000);
});

// Guards against an owner that has lost its place without learning of it, or loses it at each short outage.
test('an owner with an old list of the members grants no more than a stand-in', async () => {
  const { ask, ages } = await create();
  expect(await ask(third, 1, 1)).toMatchObject({ issuer: second, decision: { role: 'standIn' } });
  expect(await ask(first, 1, 2)).toBe('elsewhere');
  ages.set(first, 2_501);
  expect(await ask(third, 1)).toMatchObject({ issuer: first, decision: { role: 'standIn' } });
  ages.set(first, 0);
  expect(await ask(third, 1)).toMatchObject({ issuer: first, decision: { role: 'owner' } });
  ages.set(first, 4_000);
  await ask(third, 1);
  ages.set(first, 0);
  expect(await ask(third, 1)).toBe('elsewhere');
});

// Guards against customers that get almost nothing whenever a member is replaced.
test('an owner that leaves or is outranked hands its role over with its tokens', async () => {
  const { ask, publish } = await create();
  await ask(third, 500);
  publish([second, third]);
  const answers = [await ask(third, 300), await ask(third, 300)];
  expect(answers[0]).toMatchObject({ issuer: second, decision: { role: 'owner', waitsMs: [0] } });
  expect(answers[1]).not.toMatchObject({ decision: { waitsMs: [0] } });
  publish(hosts);
  expect(await ask(third, 100)).toMatchObject({ issuer: first, decision: { role: 'owner' } });
});

// Guards against two owners after the former one could not be asked.
test('without a former owner a member waits until no other can be the owner', async () => {
  const { ages, ask, clock, publish } = await create();
  ages.set(first, 3_000);
  publish([second, third]);
  expect(await ask(third, 1)).toBe('elsewhere');
  await clock.advance(6_200);
  expect(await ask(third, 1)).toBe('elsewhere');
  await clock.advance(100);
  expect(await ask(third, 1)).toMatchObject({ issuer: second, decision: { role: 'owner' } });
});
