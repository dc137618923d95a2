import { eraOf, startOfEra } from '@currantdrift/core';
import type { Intent } from './intent';
import type { Loan } from './loan';
import type { DomainRecord, Holder } from './record';

/** Removes the intents with ids in `without`, then appends `added`. */
export const withIntents = (
  record: DomainRecord,
  added: readonly Intent[],
  without: ReadonlySet<string> = new Set(),
): DomainRecord => ({
  ...record,
  intents: [...record.intents.filter(({ id }) => !without.has(id)), ...added],
});

export const withoutIntents = (record: DomainRecord, ids: ReadonlySet<string>): DomainRecord =>
  withIntents(record, [], ids);

/** Marks an intent as answered: the engine has done the order, in the boot `bootId` if given. */
export const withAnswer = (record: DomainRecord, id: string, bootId?: string): DomainRecord => ({
  ...record,
  intents: record.intents.map((intent) =>
    intent.id === id ? { ...intent, answered: true, bootId: bootId ?? intent.bootId } : intent,
  ),
});

/**
 * Raises the epoch for a new holder above all before, also above those that the store has lost when it came
 * back from a copy in `era`. The former holder may still send orders and gets a tenure.
 */
export const withHolder = (record: DomainRecord, holder: Holder, era = 0): DomainRecord => ({
  ...record,
  epoch: Math.max(record.epoch, startOfEra(era)) + 1,
  holder,
  // In a new era the record may lack holders and their loads.
  unrecorded: record.unrecorded || record.holder !== null || eraOf(record.epoch) < era,
  tenures:
    record.holder === null
      ? record.tenures
      : [...record.tenures, { epoch: record.epoch, holder: record.holder }],
});

/**
 * Clears the holder. `settled`: no order of the holder is in flight. `unrecorded`: an engine may
 * still hold loads of a former holder that are not in the record.
 */
export const withoutHolder = (
  record: DomainRecord,
  settled: boolean,
  unrecorded: boolean,
): DomainRecord => ({
  ...record,
  holder: null,
  unrecorded,
  tenures:
    settled || record.holder === null
      ? record.tenures
      : [...record.tenures, { epoch: record.epoch, holder: record.holder }],
});

/** Removes the tenures of former holders that can send no more orders. */
export const withoutTenures = (
  record: DomainRecord,
  epochs: ReadonlySet<number>,
): DomainRecord => ({
  ...record,
  tenures: record.tenures.filter(({ epoch }) => !epochs.has(epoch)),
});

export const withLoan = (record: DomainRecord, loan: Loan): DomainRecord => ({
  ...record,
  loans: [...record.loans.filter(({ id }) => id !== loan.id), loan],
});

export const withoutLoan = (record: DomainRecord, id: string): DomainRecord => ({
  ...record,
  loans: record.loans.filter((loan) => loan.id !== id),
});

export const withKeepWarm = (record: DomainRecord, keepWarm: string): DomainRecord => ({
  ...record,
  keepWarm,
});

/** Removes the intents of engines that have left the host list. */
export const withoutEngines = (
  record: DomainRecord,
  engines: ReadonlySet<string>,
): DomainRecord => ({
  ...record,
  intents: record.intents.filter(({ engine }) => !engines.has(engine)),
});
