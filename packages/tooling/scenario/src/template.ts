import { err, ok, type Result } from 'neverthrow';
import { choices, examples, units } from './language';
import type { Value } from './scenario';

/** Names that a scenario has declared, by kind of value. */
export type Names = ReadonlyMap<string, readonly string[]>;

/** Why a word of a line does not fit: its position and what could stand there. */
export interface Mismatch {
  readonly position: number;
  readonly words: readonly string[];
  readonly kinds: readonly string[];
}

export interface Match {
  readonly template: string;
  readonly values: Readonly<Record<string, Value>>;
}

interface Slot {
  readonly name: string;
  readonly kind: string;
}

const optionalPart = /\s*\[([^\]]*)\]/;

/** All lines that a template allows, as lists of words. */
const variantsOf = (template: string): string[] => {
  const found = optionalPart.exec(template);
  if (found === null) return [template];
  const [whole, part] = found;
  return [template.replace(whole, ` ${part}`), template.replace(whole, '')].flatMap(variantsOf);
};

const slotOf = (word: string): Slot | undefined => {
  const found = /^<([A-Za-z]+)(?::([A-Za-z]+))?>$/.exec(word);
  return found === null ? undefined : { name: found[1], kind: found[2] ?? found[1] };
};

/** Words that may stand for a kind of value; undefined if it is not a fixed set. */
const wordsOf = (kind: string, names: Names): readonly string[] | undefined =>
  choices[kind] ?? names.get(kind);

const read = (kind: string, word: string, names: Names): Value | undefined => {
  const scale = units[kind];
  if (scale !== undefined) {
    const found = /^(\d+(?:\.\d+)?)([A-Za-z]*)$/.exec(word);
    const factor = found === null ? undefined : scale[found[2]];
    return factor === undefined ? undefined : Number(found?.[1]) * factor;
  }
  const words = wordsOf(kind, names);
  return words === undefined || words.includes(word) ? word : undefined;
};

const matchOne = (
  variant: string,
  template: string,
  words: readonly string[],
  names: Names,
): Result<Match, Mismatch> => {
  const wanted = variant.split(/\s+/);
  const values: Record<string, Value> = {};
  for (let position = 0; position < Math.max(wanted.length, words.length); position += 1) {
    const expected = wanted.at(position);
    const word = words.at(position);
    if (expected === undefined) return err({ position, words: [], kinds: ['end of the line'] });
    const slot = slotOf(expected);
    if (slot === undefined) {
      if (word !== expected) return err({ position, words: [expected], kinds: [] });
    } else {
      const value = word === undefined ? undefined : read(slot.kind, word, names);
      if (value === undefined) {
        const known = wordsOf(slot.kind, names);
        const kind = examples[slot.kind] ?? `a ${slot.kind}`;
        return err({ position, words: known ?? [], kinds: known === undefined ? [kind] : [] });
      }
      values[slot.name] = value;
    }
  }
  return ok({ template: template.replace(new RegExp(optionalPart, 'g'), ''), values });
};

/** Matches the words of a line to one of the templates; else says where the best one fails. */
export const matchTemplate = (
  templates: readonly string[],
  words: readonly string[],
  names: Names,
): Result<Match, Mismatch> => {
  const results = templates.flatMap((template) =>
    variantsOf(template).map((variant) => matchOne(variant, template, words, names)),
  );
  const matched = results.find((result) => result.isOk());
  if (matched !== undefined) return matched;
  const mismatches = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  const position = Math.max(...mismatches.map((mismatch) => mismatch.position));
  const furthest = mismatches.filter((mismatch) => mismatch.position === position);
  return err({
    position,
    words: [...new Set(furthest.flatMap((mismatch) => mismatch.words))],
    kinds: [...new Set(furthest.flatMap((mismatch) => mismatch.kinds))],
  });
};
