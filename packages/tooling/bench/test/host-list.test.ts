import type { Host } from '@currantdrift/core';
import { HttpHostList } from '@currantdrift/platform';
import { HostsStandin } from '@currantdrift/standins';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const host = (name: string, domain: string, kind: Host['kind'] = 'engine') => ({
  name,
  kind,
  domain,
  address: '127.0.0.1:9',
});

const open = async () => {
  const standin = HostsStandin.create({
    lagMs: 0,
    hosts: [
      host('e1', 'north'),
      host('e2', 'north'),
      host('e3', 'south'),
      host('d1', 'south', 'daemon'),
    ],
  });
  const list = HttpHostList.create({ address: await standin.listen() });
  closers.push(
    () => standin.close(),
    () => list.close(),
  );
  return { standin, list };
};

const names = (hosts: readonly Host[]) => hosts.map(({ name, state }) => `${name} ${state}`);

// Guards against changes that a reader with an earlier copy misses or applies wrongly.
test('a reader of changes has the list that a new reader has', async () => {
  const { standin, list } = await open();
  const first = (await list.read())._unsafeUnwrap();
  expect((await list.read())._unsafeUnwrap()).toBe(first);
  standin.change({ action: 'leaving', name: 'e1' });
  standin.change({ action: 'remove', name: 'e2' });
  standin.change({ action: 'add', host: host('e4', 'south') });
  const next = (await list.read())._unsafeUnwrap();
  expect(names(next)).toEqual(['e1 leaving', 'e3 live', 'd1 live', 'e4 live']);
  expect(next).toEqual(standin.shown());
});

// Guards against engines that are counted by domain, which would give each the whole budget.
test('a read by domain leaves out engines of other domains but counts them', async () => {
  const { standin, list } = await open();
  const first = (await list.readDomain('north'))._unsafeUnwrap();
  expect([names(first.hosts), first.engines]).toEqual([['e1 live', 'e2 live', 'd1 live'], 3]);
  standin.change({ action: 'remove', name: 'e3' });
  standin.change({ action: 'remove', name: 'e1' });
  const next = (await list.readDomain('north'))._unsafeUnwrap();
  expect([names(next.hosts), next.engines]).toEqual([['e2 live', 'd1 live'], 1]);
});

// Guards against changes of a new list server that are applied to a copy of the old one's list.
test('a revision of another process gets the whole list', async () => {
  const { standin, list } = await open();
  (await list.read())._unsafeUnwrap();
  const later = HostsStandin.create({ lagMs: 0, hosts: [host('e9', 'north')] });
  closers.push(() => later.close());
  const address = await later.listen();
  const answer = await fetch(`http://${address}/hosts?since=0-0`, {
    headers: { 'if-none-match': '"0-0"' },
  });
  const { hosts } = (await answer.json()) as { hosts: Host[] };
  expect(names(hosts)).toEqual(['e9 live']);
  expect(standin.shown()).toHaveLength(4);
});
