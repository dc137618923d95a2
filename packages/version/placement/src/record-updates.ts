import type { Intent } from './intent';
import type { Loan } from './loan';
import type { DomainRecord, Holder } from './record';

/** Adds intents and removes those with ids in `without`, in one step. */
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

/** Notes that the engine answered the order of an intent as done, in its boot `bootId`. */
export const withAnswer = (record: DomainRecord, id: string, bootId?: string): DomainRecord => ({
  ...record,
  intents: record.intents.map((intent) =>
    intent.id === id ? { ...intent, answered: true, bootId: bootId ?? intent.bootId } : intent,
  ),
});

/** Raises the epoch for a new holder; the present one may still send orders. */
export const withHolder = (record: DomainRecord, holder: Holder): DomainRecord => ({
  ...record,
  epoch: record.epoch + 1,
  holder,
  unrecorded: record.unrecorded || record.holder !== null,
  tenures:
    record.holder === null
      ? record.tenures
      : [...record.tenures, { epoch: record.epoch, holder: record.holder }],
});

/**
 * Hands the domain over. `settled`: no order of the holder is under way. `unrecorded`: an engine
 * may still hold loads of an earlier holder that are not in the record.
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

/** Forgets earlier holders that are proven gone. */
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

/** Forgets the intents of engines that have left the host list. */
export const withoutEngines = (
  record: DomainRecord,
  engines: ReadonlySet<string>,
): DomainRecord => ({
  ...record,
  intents: record.intents.filter(({ engine }) => !engines.has(engine)),
});
