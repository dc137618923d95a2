import { QuotaRole, QuotaRoles, rankMembers } from '../src';

const members = ['h1', 'h2', 'h3'];
const maxViewAgeMs = 4_000;
const settleMs = 2.5 * maxViewAgeMs;

/** A customer whose owner is `host`. */
const customerOf = (host: string): string => {
  const names = Array.from({ length: 100 }, (_, index) => `c${index}`);
  return names.find((name) => rankMembers(name, members)[0] === host) ?? '';
};

/** The ranks at h1, which learns of the members at `now`. */
const start = (now: number, list = members): QuotaRoles => {
  const ranks = QuotaRoles.create({ self: 'h1', maxViewAgeMs });
  ranks.observe(200, now);
  ranks.update(list, now);
  return ranks;
};

const roles = (ranks: QuotaRoles, customer: string, times: readonly number[]) =>
  times.map((now) => ranks.role(customer, now).role);

test('a member that has come to be first waits until no other can be the owner', () => {
  const ranks = start(1_000);
  expect(roles(ranks, customerOf('h1'), [1_100, 1_000 + settleMs])).toEqual([
    QuotaRole.none,
    QuotaRole.owner,
  ]);
});

// Guards against customers without an owner after a process was killed and started again.
test('a process that replaces the registration of an earlier one is the owner sooner', () => {
  const ranks = start(1_000);
  ranks.resume(1_050);
  const resumableAt = 1_050 + maxViewAgeMs;
  expect(roles(ranks, customerOf('h1'), [resumableAt - 1, resumableAt])).toEqual([
    QuotaRole.none,
    QuotaRole.owner,
  ]);
  expect(ranks.role(customerOf('h2'), resumableAt).role).not.toBe(QuotaRole.owner);
});

// Guards against two owners: another member was first until the members changed.
test('it waits for a role that it gets by a later change of the members', () => {
  const customer = customerOf('h2');
  const others = rankMembers(customer, members);
  const ranks = start(1_000);
  ranks.resume(1_050);
  ranks.role(customer, 1_100);
  ranks.update(
    members.filter((host) => host === 'h1' || others.indexOf(host) > others.indexOf('h1')),
    2_000,
  );
  expect(roles(ranks, customer, [2_100, 2_000 + settleMs])).toEqual([
    QuotaRole.none,
    QuotaRole.owner,
  ]);
});

// Guards against a role that goes on after a time in which another member may have got it.
test('it waits again after it has lost contact for too long', () => {
  const ranks = start(1_000);
  ranks.resume(1_050);
  ranks.observe(maxViewAgeMs + 100, 6_000);
  ranks.observe(2 * maxViewAgeMs, 10_000);
  ranks.observe(100, 10_500);
  expect(roles(ranks, customerOf('h1'), [10_600, 10_500 + settleMs])).toEqual([
    QuotaRole.none,
    QuotaRole.owner,
  ]);
});
