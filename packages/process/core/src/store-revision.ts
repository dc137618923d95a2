/**
 * Bits of a revision below the store's era. A store that comes back from a copy gives revisions out
 * again in a new era, so a revision orders changes only together with its era.
 */
const revisionsPerEra = 2 ** 40;

/** Highest era that a revision can hold as a safe integer. */
const maxEra = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEra) - 1;

/** Combines an era with a revision that the store gave out in it, so that both compare as one number. */
export const revisionInEra = (era: number, revision: number): number =>
  revision === 0 ? 0 : era * revisionsPerEra + revision;

/** The era of a combined revision; 0 if the store has never stated one. */
export const eraOf = (revision: number): number => Math.floor(revision / revisionsPerEra);

/** The revision within its era, as the store gave it out. */
export const withoutEra = (revision: number): number => revision % revisionsPerEra;

/** First combined revision of an era. */
export const startOfEra = (era: number): number => era * revisionsPerEra;

/** Parses an era; undefined if it is missing, not a whole number or out of range. */
export const parseEra = (text: string | undefined): number | undefined => {
  if (text === undefined || !/^\d+$/u.test(text.trim())) return undefined;
  const era = Number(text);
  return era <= maxEra ? era : undefined;
};
