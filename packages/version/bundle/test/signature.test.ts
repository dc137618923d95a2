// Guards against putting bundles into force that were not signed by two different operators.
import {
  BundleHolder,
  generateKeys,
  proposeBundle,
  readPrivateKey,
  readPublicKey,
  type SignedBundle,
  signOffBundle,
  TrustedKeys,
} from '../src';
import { firstBundle, keys, signed, trusted } from './support';

const bundle = firstBundle(1);
const good = signed(bundle);

test.each<[string, SignedBundle]>([
  ['content changed', { ...good, bundle: { ...bundle, adapters: [] } }],
  ['one operator twice', { ...good, signOff: good.proposal }],
  ['sign-off as proposal', { ...good, proposal: good.signOff }],
  ['unknown operator', { ...good, proposal: { ...good.proposal, operator: 'eve' } }],
  ['signature of another', { ...good, signOff: { ...good.signOff, operator: 'nino' } }],
  ['no signature', { ...good, signOff: { ...good.signOff, value: '' } }],
])('refuses a bundle: %s', (_, wrong) => {
  const holder = BundleHolder.create(trusted);
  expect(holder.acceptBundle(wrong, '10.0.0.1:7000')._unsafeUnwrapErr()).toMatchSnapshot();
  expect(holder.version).toBe(0);
});

test('refuses a sign-off with the key or in the name of the proposer', () => {
  const proposed = proposeBundle(bundle, 'nino', keys.ninoKey);
  const sign = (operator: string, key = keys.levanKey) =>
    signOffBundle(proposed, operator, key, trusted).mapErr(({ kind }) => kind);
  expect(sign('nino')._unsafeUnwrapErr()).toBe('wrong_signature');
  expect(sign('levan', keys.ninoKey)._unsafeUnwrapErr()).toBe('wrong_signature');
  expect(sign('levan').isOk()).toBe(true);
});

test('refuses keys that are private, of another type, no PEM or shared', () => {
  const one = generateKeys();
  expect(readPublicKey(one.privateKey)._unsafeUnwrapErr().message).toMatchSnapshot();
  expect(readPrivateKey('key')._unsafeUnwrapErr().message).toMatchSnapshot();
  const shared = { nino: one.publicKey, levan: one.publicKey, dato: '' };
  expect(TrustedKeys.create(shared)._unsafeUnwrapErr()).toMatchSnapshot();
});
