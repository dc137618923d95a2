import { deflateSync, inflateSync } from 'node:zlib';
import { maxValueBytes } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type Intent, IntentKind } from './intent';
import { type Loan, loanSchema } from './loan';

/** A daemon process that is or was the holder (the active controller) of a domain. */
export interface Holder {
  readonly daemon: string;
  /** Incarnation of the daemon's host in the platform's host list. */
  readonly incarnation: number;
}

/** Epoch of a former holder that may still send orders. */
export interface Tenure {
  readonly epoch: number;
  readonly holder: Holder;
}

/** Persistent state of a domain, shared by successive controllers; key `domain/<name>/record`. */
export interface DomainRecord {
  /** Fencing token; raised by each new holder, to the start of the store's era if that is higher. */
  readonly epoch: number;
  /** Write counter; it makes each value unique, so that a read resolves a lost response. */
  readonly serial: number;
  /** Null after the last holder handed the domain over. */
  readonly holder: Holder | null;
  readonly tenures: readonly Tenure[];
  /**
   * True if a former holder ended without a handover: engines that enforce fencing may then hold
   * loads that it ordered during a store outage and could not record.
   */
  readonly unrecorded: boolean;
  readonly intents: readonly Intent[];
  readonly loans: readonly Loan[];
  /** Snapshot of the keep-warm policy's state; the format is private to the policy. */
  readonly keepWarm: string;
}

export const emptyRecord: DomainRecord = {
  epoch: 0,
  serial: 0,
  holder: null,
  tenures: [],
  unrecorded: false,
  intents: [],
  loans: [],
  keepWarm: '',
};

const kinds = [IntentKind.load, IntentKind.unload, IntentKind.standing] as const;

const count = z.number().int().nonnegative();
const holderSchema = z.object({ daemon: z.string().min(1), incarnation: count });

/**
 * Stored form. Intents are tuples that refer to engines by index, to keep the record far below the
 * largest store value.
 */
const wireSchema = z.object({
  format: z.literal(1),
  epoch: count,
  serial: count,
  holder: holderSchema.nullable(),
  tenures: z.array(z.object({ epoch: count, holder: holderSchema })),
  unrecorded: z.boolean(),
  engines: z.array(z.tuple([z.string().min(1), z.string()])),
  intents: z.array(
    z.tuple([
      z.string().min(1),
      count,
      z.string().min(1),
      z.number().nonnegative(),
      count.max(kinds.length - 1),
      count,
      z.union([z.literal(0), z.literal(1)]),
    ]),
  ),
  loans: z.array(loanSchema),
  keepWarm: z.string(),
});

/**
 * Encodes a record as deflated JSON, compressed because each change writes the whole record. Fails
 * if the result exceeds the largest store value.
 */
export const encodeRecord = (record: DomainRecord): Result<Uint8Array, string> => {
  const numbers = new Map<string, number>();
  const engines: [string, string][] = [];
  const numberOf = ({ engine, bootId }: Intent): number => {
    const key = `${engine}\u0000${bootId}`;
    const known = numbers.get(key);
    if (known !== undefined) return known;
    numbers.set(key, engines.length);
    engines.push([engine, bootId]);
    return engines.length - 1;
  };
  const intents = record.intents.map((intent) => [
    intent.id,
    numberOf(intent),
    intent.item,
    intent.bytes,
    kinds.indexOf(intent.kind),
    intent.epoch,
    intent.answered ? 1 : 0,
  ]);
  const json = JSON.stringify({ format: 1, ...record, engines, intents });
  const bytes = new Uint8Array(deflateSync(json, { level: 1 }));
  return bytes.length > maxValueBytes
    ? err(`the domain record has ${bytes.length} bytes; the store takes ${maxValueBytes}`)
    : ok(bytes);
};

/**
 * Largest size of an inflated record, in bytes; bounds the memory that a damaged value can take.
 */
const maxInflatedBytes = 16_000_000;

const parseJson = (bytes: Uint8Array): Result<unknown, string> => {
  try {
    const json = inflateSync(bytes, { maxOutputLength: maxInflatedBytes });
    return ok(JSON.parse(json.toString('utf8')));
  } catch {
    return err('the domain record is not deflated JSON');
  }
};

/** Decodes the output of `encodeRecord`; the error names the first invalid field. */
export const decodeRecord = (bytes: Uint8Array): Result<DomainRecord, string> =>
  parseJson(bytes).andThen((json) => {
    const parsed = wireSchema.safeParse(json);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      return err(`the domain record is invalid at ${issue.path.join('.')}: ${issue.message}`);
    }
    const { engines, intents, epoch, serial, holder, tenures, unrecorded, loans, keepWarm } =
      parsed.data;
    if (intents.some(([, engine]) => engine >= engines.length)) {
      return err('the domain record is invalid at intents: unknown engine number');
    }
    return ok({
      epoch,
      serial,
      holder,
      tenures,
      unrecorded,
      loans,
      keepWarm,
      intents: intents.map(([id, engine, item, size, kind, orderEpoch, answered]) => ({
        id,
        engine: engines[engine][0],
        bootId: engines[engine][1],
        item,
        bytes: size,
        kind: kinds[kind],
        epoch: orderEpoch,
        answered: answered === 1,
      })),
    });
  });
