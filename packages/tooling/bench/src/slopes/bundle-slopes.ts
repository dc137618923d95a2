import {
  BundleHolder,
  bundleDigest,
  decodeSignedBundle,
  encodeSignedBundle,
  generateKeys,
  makeDelta,
  parseBundle,
  PreparedBundle,
  proposeBundle,
  readPrivateKey,
  type SignedBundle,
  signOffBundle,
  TrustedKeys,
} from '@currantdrift/bundle';
import type { Bundle } from '@currantdrift/core';
import { cpuMicroseconds, keptBytes } from './cost';
import { type Slope, slopeOf } from './slope';

const [first, second] = [generateKeys(), generateKeys()];
const trusted = TrustedKeys.create({
  first: first.publicKey,
  second: second.publicKey,
})._unsafeUnwrap();
const firstKey = readPrivateKey(first.privateKey)._unsafeUnwrap();
const secondKey = readPrivateKey(second.privateKey)._unsafeUnwrap();

const range = (count: number): number[] => Array.from({ length: count }, (_each, index) => index);

/** 1000 callers, as many as stand behind one name. */
const callers = range(1000).map((index) => ({
  name: `stall-${index}`,
  keyHashes: [index.toString(16).padStart(64, '0')],
  items: [`model-${index % 10}:*`, `model-${index % 10}`],
  services: [],
  maxPriority: 5,
  weight: 1,
}));

const bundleOf = (models: number, adapters: number): Bundle =>
  parseBundle({
    version: 1,
    previous: null,
    domains: range(12).map((index) => ({
      name: `domain-${index}`,
      region: `region-${index % 4}`,
      founding: true,
    })),
    callers,
    models: range(models).map((index) => ({
      name: `model-${index}`,
      version: '1',
      bytes: 16_000_000_000,
      replicas: 2,
      pool: 'drafting',
      calendar: [],
    })),
    adapters: range(adapters).map((index) => ({
      name: `model-${index % models}:venue-${index}`,
      version: '1',
      bytes: 50_000_000,
      replicas: 2,
    })),
    services: [],
  })._unsafeUnwrap();

const sign = (bundle: Bundle): SignedBundle =>
  signOffBundle(
    proposeBundle(bundle, 'first', firstKey),
    'second',
    secondKey,
    trusted,
  )._unsafeUnwrap();

/** The next version, in which one adapter changes. */
const nextOf = (before: Bundle): Bundle =>
  parseBundle({
    ...before,
    adapters: before.adapters.map((adapter, index) =>
      index === 7 ? { ...adapter, version: '2' } : adapter,
    ),
    version: before.version + 1,
    previous: bundleDigest(before),
  })._unsafeUnwrap();

const prepare = (encoded: Uint8Array): PreparedBundle => {
  const signed = decodeSignedBundle(encoded)._unsafeUnwrap();
  return PreparedBundle.create(signed, bundleDigest(signed.bundle));
};

const modelSizes = [480, 2000, 4000];
const adapterSizes = [6500, 13_000, 26_000];
const targetModels = 480;

/** Memory per model and adapter; CPU and bytes of a whole bundle and of a delta. */
export const measureBundle = async (): Promise<readonly Slope[]> => {
  const perModel = modelSizes.map((size) => {
    const encoded = encodeSignedBundle(sign(bundleOf(size, 8)));
    return keptBytes(() => prepare(encoded));
  });
  const memory: number[] = [];
  const wholeBytes: number[] = [];
  const wholeCpu: number[] = [];
  const deltaBytes: number[] = [];
  const deltaCpu: number[] = [];
  for (const size of adapterSizes) {
    const bundle = bundleOf(targetModels, size);
    const signed = sign(bundle);
    const encoded = encodeSignedBundle(signed);
    const after = sign(nextOf(bundle));
    const delta = makeDelta(bundle, after);
    memory.push(keptBytes(() => prepare(encoded)));
    wholeBytes.push(encoded.length);
    wholeCpu.push(
      await cpuMicroseconds(9, () =>
        BundleHolder.create(trusted)
          .acceptBundle(decodeSignedBundle(encoded)._unsafeUnwrap(), 'peer')
          ._unsafeUnwrap(),
      ),
    );
    deltaBytes.push(Buffer.byteLength(JSON.stringify(delta)));
    const holders = range(9).map(() => {
      const holder = BundleHolder.create(trusted);
      holder.acceptBundle(decodeSignedBundle(encoded)._unsafeUnwrap(), 'peer')._unsafeUnwrap();
      return holder;
    });
    deltaCpu.push(
      await cpuMicroseconds(9, (run) => holders[run].acceptDeltas([delta], 'peer')._unsafeUnwrap()),
    );
  }
  const adapters = { per: 'adapters, with 480 models and 1,000 callers', sizes: adapterSizes };
  return [
    slopeOf({
      name: 'memory per model',
      unit: 'bytes',
      per: 'models, with 8 adapters and 1,000 callers',
      method: 'in-process: heap and buffers kept by a decoded and prepared bundle',
      sizes: modelSizes,
      values: perModel,
    }),
    slopeOf({
      ...adapters,
      name: 'memory per adapter',
      unit: 'bytes',
      method: 'in-process: heap and buffers kept by a decoded and prepared bundle',
      values: memory,
    }),
    slopeOf({
      ...adapters,
      name: 'bytes of a whole bundle',
      unit: 'bytes',
      method: 'in-process: encoded and compressed size',
      values: wholeBytes,
    }),
    slopeOf({
      ...adapters,
      name: 'CPU of a whole bundle',
      unit: 'microseconds',
      method: 'in-process: decoding, checking, digest and signatures; median of 9',
      values: wholeCpu,
    }),
    slopeOf({
      ...adapters,
      name: 'bytes of a bundle delta',
      unit: 'bytes',
      method: 'in-process: JSON of a delta that changes one adapter',
      values: deltaBytes,
    }),
    slopeOf({
      ...adapters,
      name: 'CPU of a bundle delta',
      unit: 'microseconds',
      method:
        'in-process: first delta after a whole bundle: change, digest, signatures; median of 9',
      values: deltaCpu,
    }),
  ];
};
