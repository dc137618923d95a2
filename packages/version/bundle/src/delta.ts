import type { Bundle } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { bundleDigest, canonicalEntry } from './canonical';
import { type Rejection, rejection, RejectionKind } from './rejection';
import {
  adapterSchema,
  callerSchema,
  digestSchema,
  domainSchema,
  modelSchema,
  serviceSchema,
} from './schema';
import { signatureSchema, type SignedBundle } from './signature';
import { findByName, mergeByName } from './sorted-list';

const patchSchema = z.looseObject({ name: z.string() });
/** An entry's name with its new or changed fields; changed lists of strings as `{add, remove}`. */
type Patch = z.infer<typeof patchSchema>;

const changeSchema = z.strictObject({
  set: z.array(patchSchema).optional(),
  drop: z.array(z.string()).optional(),
});
type Change = z.infer<typeof changeSchema>;

const textChangeSchema = z.strictObject({
  add: z.array(z.string()).optional(),
  remove: z.array(z.string()).optional(),
});

export const deltaSchema = z.strictObject({
  /** Version that the delta leads to; it starts at the one before. */
  version: z.int().min(2),
  /** Digest of the bundle that the delta starts at. */
  previous: digestSchema,
  /** Digest of the bundle that the delta leads to. */
  digest: digestSchema,
  domains: z.array(domainSchema).optional(),
  callers: changeSchema.optional(),
  models: changeSchema.optional(),
  adapters: changeSchema.optional(),
  services: changeSchema.optional(),
  proposal: signatureSchema,
  signOff: signatureSchema,
});

/** The changes of one version, with the signatures of the complete new version. */
export type Delta = z.infer<typeof deltaSchema>;

/** The changed content of a delta, without versions, digests and signatures. */
export type BundleChanges = Partial<Pick<Delta, ListName | 'domains'>>;

const lists = {
  callers: callerSchema,
  models: modelSchema,
  adapters: adapterSchema,
  services: serviceSchema,
} as const;
type ListName = keyof typeof lists;
const listNames = Object.keys(lists) as ListName[];

interface Named {
  readonly name: string;
}
type Entry = Named & Readonly<Record<string, unknown>>;

/** Fields of callers with sorted lists of strings without duplicates. */
const textFields: ReadonlySet<string> = new Set(['keyHashes', 'items']);
const isTextField = (list: ListName, field: string): boolean =>
  list === 'callers' && (textFields.has(field) || field === 'services');

const isSameJson = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

const diffTexts = (before: readonly string[], after: readonly string[]) => {
  const old = new Set(before);
  const fresh = new Set(after);
  const add = after.filter((text) => !old.has(text));
  const remove = before.filter((text) => !fresh.has(text));
  return { ...(add.length > 0 && { add }), ...(remove.length > 0 && { remove }) };
};

const createPatch = (list: ListName, before: Entry | undefined, after: Entry): Patch => {
  if (before === undefined) return after;
  const fields = Object.keys(after).filter((field) => !isSameJson(before[field], after[field]));
  const changed = fields.map((field) => [
    field,
    isTextField(list, field)
      ? diffTexts(before[field] as string[], after[field] as string[])
      : after[field],
  ]);
  return { ...Object.fromEntries(changed), name: after.name };
};

const diffList = (
  list: ListName,
  before: readonly Entry[],
  after: readonly Entry[],
): Change | undefined => {
  if (before === after) return undefined;
  const old = new Map(before.map((entry) => [entry.name, entry]));
  const names = new Set(after.map(({ name }) => name));
  const set = after.flatMap((entry) => {
    const earlier = old.get(entry.name);
    const isSame = earlier !== undefined && canonicalEntry(earlier) === canonicalEntry(entry);
    return isSame ? [] : [createPatch(list, earlier, entry)];
  });
  const drop = before.flatMap(({ name }) => (names.has(name) ? [] : [name]));
  if (set.length === 0 && drop.length === 0) return undefined;
  return { ...(set.length > 0 && { set }), ...(drop.length > 0 && { drop }) };
};

const entriesOf = (bundle: Bundle, list: ListName): readonly Entry[] =>
  bundle[list] as readonly unknown[] as readonly Entry[];

/** The differences between two bundles from `parseBundle`; also shown to operators. */
export const bundleChanges = (before: Bundle, after: Bundle): BundleChanges => {
  const appended = after.domains.slice(before.domains.length);
  const changes = listNames.flatMap((list) => {
    const change = diffList(list, entriesOf(before, list), entriesOf(after, list));
    return change === undefined ? [] : [[list, change] as const];
  });
  return { ...(appended.length > 0 && { domains: appended }), ...Object.fromEntries(changes) };
};

/** The delta from `before` to the next version; both must come from `parseBundle`. */
export const makeDelta = (before: Bundle, after: SignedBundle): Delta => ({
  version: after.bundle.version,
  previous: bundleDigest(before),
  digest: bundleDigest(after.bundle),
  ...bundleChanges(before, after.bundle),
  proposal: after.proposal,
  signOff: after.signOff,
});

const applyPatch = (list: ListName, before: Entry | undefined, patch: Patch): unknown => {
  if (before === undefined) return patch;
  const fields = Object.entries(patch).map(([field, value]) => {
    if (!isTextField(list, field)) return [field, value];
    const change = textChangeSchema.safeParse(value);
    if (!change.success) return [field, value];
    const removed = new Set(change.data.remove ?? []);
    const kept = (before[field] as string[]).filter((text) => !removed.has(text));
    return [field, [...new Set([...kept, ...(change.data.add ?? [])])].sort()];
  });
  return { ...before, ...Object.fromEntries(fields) };
};

const applyChange = (
  list: ListName,
  before: readonly Entry[],
  change: Change | undefined,
): Result<readonly Entry[], Rejection> => {
  if (change === undefined) return ok(before);
  const drop = new Set(change.drop ?? []);
  const fresh: Entry[] = [];
  for (const patch of change.set ?? []) {
    const parsed = lists[list].safeParse(applyPatch(list, findByName(before, patch.name), patch));
    if (!parsed.success) {
      const message = `${list} entry ${JSON.stringify(patch.name)}: ${parsed.error.issues[0].message}`;
      return err(rejection(RejectionKind.malformed, 'bundle.delta', message));
    }
    fresh.push(parsed.data);
  }
  const kept = drop.size === 0 ? before : before.filter(({ name }) => !drop.has(name));
  return ok(mergeByName(kept, fresh));
};

/**
 * Rebuilds the next version without computing its digest. Used for all deltas of a chain but the last:
 * the digest of the last covers them, and each digest needs a pass over the whole bundle.
 */
export const patchBundle = (before: Bundle, delta: Delta): Result<SignedBundle, Rejection> => {
  if (delta.version !== before.version + 1) {
    const message = `the delta leads to version ${delta.version}, but is applied to version ${before.version}`;
    return err(rejection(RejectionKind.brokenChain, 'bundle.delta', message));
  }
  const changed: Record<string, unknown> = {};
  for (const list of listNames) {
    const entries = applyChange(list, entriesOf(before, list), delta[list]);
    if (entries.isErr()) return err(entries.error);
    changed[list] = entries.value;
  }
  const bundle: Bundle = {
    ...before,
    ...(changed as Pick<Bundle, ListName>),
    version: delta.version,
    previous: delta.previous,
    domains: delta.domains === undefined ? before.domains : [...before.domains, ...delta.domains],
  };
  return ok({ bundle, proposal: delta.proposal, signOff: delta.signOff });
};

/**
 * Rebuilds the next version and compares its digest with the one in the delta. The caller must have
 * checked that `before` has the digest `delta.previous`, and must verify the signatures.
 */
export const applyDelta = (before: Bundle, delta: Delta): Result<SignedBundle, Rejection> =>
  patchBundle(before, delta).andThen((signed) => {
    if (bundleDigest(signed.bundle) === delta.digest) return ok(signed);
    const message = `version ${delta.version} rebuilt from its delta does not match its digest`;
    return err(rejection(RejectionKind.wrongDigest, 'bundle.delta', message));
  });

/** Parses a delta that another process sent. */
export const parseDelta = (value: unknown): Result<Delta, Rejection> => {
  const parsed = deltaSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const message = `${issue.path.join('.')}: ${issue.message}`;
  return err(rejection(RejectionKind.malformed, 'bundle.delta', message));
};
