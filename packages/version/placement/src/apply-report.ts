import type { EndpointReport } from '@currantdrift/core';
import { mayBeSentByFormerHolder } from './accounting';
import { type Intent, IntentKind, reservesMemory } from './intent';
import type { DomainRecord } from './record';

/** State of the controller at the time a report was requested. */
export interface ReportContext {
  readonly fencing: boolean;
  /** Ids of the unload intents that were answered before the report was requested. */
  readonly answeredBefore: ReadonlySet<string>;
  /** Epochs whose holders could send no more orders when the report was requested. */
  readonly endedEpochs: ReadonlySet<number>;
  /**
   * Ids of intents of ended epochs whose order got no response. The order may still arrive until
   * the former holder's process is known to have ended.
   */
  readonly unsettled: ReadonlySet<string>;
  /** Ids of intents whose order this process is about to send or awaits the result of. */
  readonly pending: ReadonlySet<string>;
}

type IntentOutcome = 'keep' | 'drop' | 'answered';

const formerHolderOutcome = (
  intent: Intent,
  report: EndpointReport,
  record: DomainRecord,
  context: ReportContext,
): IntentOutcome => {
  const fenced = context.fencing && report.epoch >= record.epoch;
  const ended = context.endedEpochs.has(intent.epoch) && !context.unsettled.has(intent.id);
  if (!fenced && !ended) return 'keep';
  const held = report.items.find(({ item }) => item === intent.item);
  if (intent.kind === IntentKind.unload) return held?.state === 'unloading' ? 'keep' : 'drop';
  return held === undefined ? 'drop' : 'answered';
};

const outcomeOf = (
  intent: Intent,
  report: EndpointReport,
  record: DomainRecord,
  context: ReportContext,
): IntentOutcome => {
  if (mayBeSentByFormerHolder(intent, record))
    return formerHolderOutcome(intent, report, record, context);
  if (context.pending.has(intent.id)) return 'keep';
  if (intent.bootId !== report.bootId) return 'drop';
  return 'keep';
};

/**
 * Returns the record updated with what an engine's report proves. Only this function frees the
 * memory of loads on engines in the host list: after an answered unload whose item is missing from
 * a report requested after the answer, after a restart of the engine, or, for intents of former
 * holders, once fencing is in force or the holder can send no more orders.
 */
export const applyReport = (
  record: DomainRecord,
  report: EndpointReport,
  context: ReportContext,
): DomainRecord => {
  const held = new Set(report.items.map(({ item }) => item));
  const mine = record.intents.filter(({ engine }) => engine === report.endpoint);
  const unloaded = new Set(
    mine
      .filter(
        ({ id, kind, item, bootId }) =>
          kind === IntentKind.unload &&
          context.answeredBefore.has(id) &&
          (bootId !== report.bootId || !held.has(item)),
      )
      .map(({ item }) => item),
  );
  const changes = new Map<string, IntentOutcome>();
  mine.forEach((intent) => {
    const proven =
      unloaded.has(intent.item) &&
      !mayBeSentByFormerHolder(intent, record) &&
      !context.pending.has(intent.id) &&
      (!reservesMemory(intent) || intent.kind === IntentKind.load);
    const verdict = proven ? 'drop' : outcomeOf(intent, report, record, context);
    if (verdict !== 'keep') changes.set(intent.id, verdict);
  });
  if (changes.size === 0) return record;
  return {
    ...record,
    intents: record.intents
      .filter(({ id }) => changes.get(id) !== 'drop')
      .map((intent) =>
        changes.get(intent.id) === 'answered'
          ? { ...intent, answered: true, kind: IntentKind.load, bootId: report.bootId }
          : intent,
      ),
  };
};
