import type { EndpointReport } from '@currantdrift/core';
import { mayBeSentByFormerHolder } from './accounting';
import { type Intent, IntentKind, reservesMemory } from './intent';
import type { DomainRecord } from './record';

/** What is known about the time at which a report was asked for. */
export interface ReportContext {
  readonly fencing: boolean;
  /** Ids of the intents that were answered before the report was asked for. */
  readonly answeredBefore: ReadonlySet<string>;
  /** Epochs of earlier holders proven gone before the report was asked for. */
  readonly endedEpochs: ReadonlySet<number>;
  /** Ids of intents of ended epochs whose order had no answer; they wait for the process's end. */
  readonly unsettled: ReadonlySet<string>;
  /** Ids of intents whose order this process is about to send or waits for. */
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
 * The record after what a report of an engine proves. Memory is freed only here: by an answered
 * unload whose item is missing from a report asked for after the answer, by a new boot, or, for
 * intents of earlier holders, by fencing or the end of the holder's process.
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
