import { distance } from 'fastest-levenshtein';

/** Largest share of a word that may differ for a suggestion. */
const maxDifference = 0.5;

/** The known word that is most like `word`; undefined if none is near. */
export const nearestWord = (word: string, known: readonly string[]): string | undefined => {
  const [best] = known
    .map((candidate) => ({ candidate, edits: distance(word, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  if (best === undefined) return undefined;
  const longest = Math.max(word.length, best.candidate.length);
  return best.edits <= longest * maxDifference ? best.candidate : undefined;
};
