// Guards against deltas that rebuild content other than what was signed, and against large messages.
import type { Bundle } from '@currantdrift/core';
import canonicalize from 'canonicalize';
import fc from 'fast-check';
import {
  applyDelta,
  BundleHolder,
  bundleDigest,
  canonicalBytes,
  decodeSignedBundle,
  encodeSignedBundle,
  makeDelta,
  parseProposedBundle,
  parseSignedBundle,
} from '../src';
import { callerOf, firstBundle, hashOf, next, seed, signed, trusted } from './support';

/** Generates a random next version of `before` without using deltas. */
const successor = (before: Bundle) =>
  fc
    .record({
      adapters: fc.uniqueArray(fc.nat(30), { maxLength: 20 }),
      callers: fc.uniqueArray(fc.nat(8), { maxLength: 6 }),
      version: fc.constantFrom('1', '2', '3'),
      items: fc.subarray(['quote-0', 'quote-1', 'quote-2:*', 'quote-3:*']),
      calls: fc.subarray(['book', 'confirm', 'list']),
      grows: fc.boolean(),
    })
    .map(({ adapters, callers, version, items, calls, grows }) => {
      const domain = { name: `new-${before.version}`, region: 'perth', founding: false };
      return next(before, {
        domains: grows ? [...before.domains, domain] : before.domains,
        models: before.models.map((model, index) => (index === 0 ? { ...model, version } : model)),
        adapters: adapters.map((index) => ({
          name: `quote-${index % 4}:venue-${index}`,
          version: index % 2 === 0 ? version : '1',
          bytes: 1000 + index,
          replicas: index % 3,
        })),
        callers: callers.map((index) =>
          callerOf(index, { items, keyHashes: [hashOf(index + 100 * Number(version))] }),
        ),
        services: before.services.map((service) => ({
          ...service,
          calls: calls.map((name) => ({ name, method: 'POST' as const, repeatable: false })),
        })),
      });
    });

test('a delta rebuilds exactly the bundle that was signed', () => {
  const first = firstBundle(10);
  const chain = successor(first).chain((second) =>
    successor(second).map((third) => [first, second, third] as const),
  );
  fc.assert(
    fc.property(chain, ([one, two, three]) => {
      [
        [one, two],
        [two, three],
      ].forEach(([before, after]) => {
        const sent = JSON.parse(JSON.stringify(makeDelta(before, signed(after)))) as ReturnType<
          typeof makeDelta
        >;
        const rebuilt = applyDelta(before, sent)._unsafeUnwrap().bundle;
        expect(rebuilt).toEqual(after);
        expect(Buffer.from(canonicalBytes(rebuilt)).toString()).toBe(canonicalize(after));
      });
    }),
    { seed, numRuns: 60 },
  );
});

test('a whole bundle survives its encoding', () => {
  const whole = signed(firstBundle(50));
  expect(decodeSignedBundle(encodeSignedBundle(whole))._unsafeUnwrap()).toEqual(whole);
  expect(decodeSignedBundle(Buffer.from('{}'))._unsafeUnwrapErr()).toMatchSnapshot();
  const wrong = { ...whole, bundle: { ...whole.bundle, models: [] }, proposal: { operator: '' } };
  expect(parseSignedBundle(wrong)._unsafeUnwrapErr().length).toBe(3);
  const { bundle, proposal } = whole;
  expect(parseProposedBundle({ bundle, proposal })._unsafeUnwrap()).toEqual({ bundle, proposal });
});

test('a delta of one changed caller takes a few hundred bytes', () => {
  const before = firstBundle(1000, 1000);
  const callers = before.callers.map((caller) =>
    caller.name === 'stall-7' ? { ...caller, maxPriority: 7, items: ['quote-0'] } : caller,
  );
  const delta = makeDelta(before, signed(next(before, { callers })));
  expect({ ...delta, previous: '', digest: '', proposal: '', signOff: '' }).toMatchSnapshot();
  expect(JSON.stringify(delta).length).toBeLessThan(800);
});

test('a holder refuses chains that are broken, altered or old, and changes nothing', () => {
  const one = firstBundle(2);
  const two = next(one, { callers: [] });
  const three = next(two, { adapters: [] });
  const [toTwo, toThree] = [makeDelta(one, signed(two)), makeDelta(two, signed(three))];
  const holder = BundleHolder.create(trusted);
  const kindOf = (...deltas: (typeof toTwo)[]) =>
    holder.acceptDeltas(deltas, 'peer').match(
      ({ version }) => version,
      ({ kind }) => kind,
    );
  expect(kindOf(toTwo)).toBe('broken_chain');
  holder.acceptBundle(signed(one), 'store')._unsafeUnwrap();
  expect([
    kindOf(toThree),
    kindOf({ ...toTwo, callers: undefined }),
    kindOf({ ...toTwo, models: { set: [{ name: 'quote-0', replicas: -1 }] } }),
    kindOf({ ...toTwo, proposal: toTwo.signOff }),
    kindOf({ ...toTwo, previous: bundleDigest(two) }),
    holder.version,
    kindOf(toTwo, toThree),
    kindOf(toTwo),
    holder.acceptBundle(signed(two), 'peer')._unsafeUnwrapErr().kind,
  ]).toMatchSnapshot();
  expect(holder.current?.bundle).toEqual(three);
});

test('lookups return the content of the bundle', () => {
  const one = firstBundle(40, 2);
  const holder = BundleHolder.create(trusted);
  const held = holder.acceptBundle(signed(one), 'store')._unsafeUnwrap();
  const caller = held.callerByKeyHash(hashOf(3));
  if (caller === undefined) throw new Error('the caller is missing');
  const all = [...one.models, ...one.adapters].map(({ name }) => name);
  const expected = all.filter((name) => name === 'quote-0' || name.startsWith('quote-1:'));
  expect(all.filter((name) => held.canAccess(caller, name))).toEqual(expected);
  expect([...held.accessibleItems(caller)].sort()).toEqual([...expected].sort());
  expect(all.map((name) => held.itemKey(name))).toEqual(all.map((name) => `${name}@1`));
  expect([
    held.callerByKeyHash(hashOf(99)),
    held.itemKey('quote-9'),
    held.itemKey('quote-0:none'),
    held.canAccess(caller, 'quote-1:none'),
    held.canAccess(caller, 'quote-1'),
    held.canAccessService(caller, 'shipments'),
  ]).toEqual([undefined, undefined, undefined, false, false, true]);
});
