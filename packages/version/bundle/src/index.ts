export * from './bundle-exchange';
export * from './bundle-holder';
export * from './bundle-reader';
export * from './bundle-relay';
export { type HeadEntry, readHead, readWhole } from './bundle-store';
export { bundleDigest, canonicalBytes } from './canonical';
export { applyDelta, type BundleChanges, bundleChanges, type Delta, makeDelta } from './delta';
export * from './envelope';
export type { Head } from './head';
export * from './history';
export * from './keys';
export * from './mistake';
export {
  decodeSignedBundle as decodeSignedBundle,
  encodeSignedBundle as encodeSignedBundle,
} from './payload';
export { PreparedBundle } from './prepared-bundle';
export * from './rejection';
export * from './rollout';
export { bundleSchema, parseBundle } from './schema';
export * from './signature';
export * from './trusted-keys';
