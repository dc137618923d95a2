import { HostState } from '@currantdrift/core';
import { acceptsOrders, committedBytes } from './accounting';
import type { Catalogue } from './catalogue';
import type { Domain } from './domain';
import { type Intent, IntentKind, itemNameOf } from './intent';

/** Changes to the standing intents of the current holder. */
export interface StandingIntentChange {
  readonly added: readonly Intent[];
  readonly removed: ReadonlySet<string>;
}

/**
 * Largest number of intents added in one pass; checking one against the record takes about 10 ms.
 */
const maxAddedPerPass = 8;

/**
 * Plans standing intents for the models that are most valuable to have loaded, in free memory of
 * engines that do not enforce fencing. Existing ones that are still valid are kept.
 */
export const planStandingIntents = (
  domain: Domain,
  catalogue: Catalogue,
  now: number,
): StandingIntentChange => {
  const { engines, settings, keepWarm } = domain.parts;
  const { epoch, intents } = domain.record;
  const own = intents.filter(
    (intent) => intent.kind === IntentKind.standing && intent.epoch === epoch,
  );
  const isObsolete = ({ engine, bootId, item }: Intent) =>
    engines.statuses.get(engine)?.report?.bootId !== bootId ||
    catalogue.find(item)?.key !== item ||
    domain.count(itemNameOf(item)) > domain.allotted(itemNameOf(item));
  const removed = new Set(own.filter(isObsolete).map(({ id }) => id));
  const room = Math.min(maxAddedPerPass, settings.standingIntents - (own.length - removed.size));
  const claims = domain.claims();
  const free = new Map(
    [...engines.statuses.values()]
      .filter((engine) => !engine.fencing && engine.state === HostState.live)
      .filter((engine) => acceptsOrders(engine, epoch))
      .map(({ id, report }) => [id, (report?.memoryBytes ?? 0) - committedBytes(claims, id)]),
  );
  const added: Intent[] = [];
  if (free.size === 0 || room <= 0) return { added, removed };
  catalogue
    .all()
    .filter(({ name, model }) => model === undefined && domain.count(name) === 0)
    .filter(({ name }) => domain.allotted(name) > 0)
    .map((listed) => ({ listed, value: keepWarm.value(listed.name, now) }))
    .sort((a, b) => b.value - a.value)
    .forEach(({ listed }) => {
      if (added.length >= room) return;
      const [best] = [...free]
        .filter(([id]) => engines.statuses.get(id)?.pool === listed.pool)
        .filter(([, bytes]) => bytes >= listed.bytes)
        .sort(([, a], [, b]) => b - a);
      if (best === undefined) return;
      const [engine, bytes] = best;
      free.set(engine, bytes - listed.bytes);
      added.push({
        id: domain.newId(),
        engine,
        bootId: engines.statuses.get(engine)?.report?.bootId ?? '',
        item: listed.key,
        bytes: listed.bytes,
        kind: IntentKind.standing,
        epoch,
        answered: false,
      });
    });
  return { added, removed };
};
