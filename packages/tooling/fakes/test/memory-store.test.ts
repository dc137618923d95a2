import { MemoryStore, StoreHandle, VirtualClock } from '@currantdrift/fakes';

const bytes = (text: string) => new TextEncoder().encode(text);

// Guards against a lost answer being reported as a refusal although the write took effect.
test('a lost answer leaves the write in place', async () => {
  const clock = VirtualClock.create();
  const store = StoreHandle.create(MemoryStore.create(clock), clock);
  store.faults.losesAnswer = () => true;
  const swap = await clock.settle(store.compareAndSwap('a', 0, bytes('1')));
  expect(swap._unsafeUnwrapErr().kind).toBe('unknown');
  store.faults.losesAnswer = () => false;
  const entry = await clock.settle(store.get('a'));
  expect(entry._unsafeUnwrap()?.revision).toBe(1);
});

// Guards against a key that outlives the lease it was written under.
test('a key goes when its lease ends and a watch sees it', async () => {
  const clock = VirtualClock.create();
  const store = StoreHandle.create(MemoryStore.create(clock), clock);
  const lease = (await store.grantLease(1000))._unsafeUnwrap();
  await store.compareAndSwap('holder', 0, bytes('me'), lease.id);
  const watch = store.watch('holder', 1, 10_000);
  await clock.advance(2000);
  expect((await watch)._unsafeUnwrap()).toBeUndefined();
  expect((await store.renewLease(lease.id))._unsafeUnwrapErr().kind).toBe('refused');
});
