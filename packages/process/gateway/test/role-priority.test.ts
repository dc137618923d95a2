import { membersByRolePriority } from '../src/version/role-priority';
import type { Member } from '../src/version/members';
import { relaysOf } from '../src/version/relays';
import { watchersOf } from '../src/version/watchers';

const member = (host: string, processors: number, domain = 'north'): Member => ({
  host,
  address: host,
  domain,
  processors,
});

const fleet = [
  ...Array.from({ length: 10 }, (_, index) => member(`small-${index}`, 0.324)),
  member('large-0', 1.35),
  member('large-1', 1.35),
];

describe('hosts of different sizes', () => {
  // Guards against a controller whose planning uses all processor time of a small host.
  test('large hosts come first for every role', () => {
    const firsts = membersByRolePriority('controller', fleet).slice(0, 2);
    expect(firsts.map(({ processors }) => processors)).toEqual([1.35, 1.35]);
    const all = [...fleet, member('elsewhere', 8, 'south')];
    const relays = relaysOf(all, 'north');
    expect(relays.map(({ host }) => host).sort()).toEqual(['large-0', 'large-1']);
    expect(watchersOf(all)[0].host).toBe('elsewhere');
  });

  // Guards against the loss of both watchers with one failure domain.
  test('watchers are in different failure domains', () => {
    const south = Array.from({ length: 3 }, (_, index) => member(`south-${index}`, 0.324, 'south'));
    const watchers = watchersOf([...fleet, ...south]);
    expect(watchers.map(({ domain }) => domain).sort()).toEqual(['north', 'south']);
    expect(watchersOf(fleet)).toHaveLength(2);
    expect(watchersOf(fleet.slice(0, 1))).toHaveLength(1);
    expect(watchersOf([])).toEqual([]);
  });

  // Guards against one host that gets every role, and one that gets none.
  test('roles are spread over hosts of the same size, and all hosts are ranked', () => {
    const same = Array.from({ length: 6 }, (_, index) => member(`h${index}`, 0.675));
    const firsts = Array.from(
      { length: 40 },
      (_, role) => membersByRolePriority(`d${role}`, same)[0].host,
    );
    expect(new Set(firsts).size).toBe(6);
    expect(membersByRolePriority('controller', fleet)).toHaveLength(fleet.length);
  });

  // Guards against an order that depends on the sequence in which members became known.
  test('all members agree on the order', () => {
    const order = membersByRolePriority('controller', fleet);
    expect(membersByRolePriority('controller', [...fleet].reverse())).toEqual(order);
  });
});
