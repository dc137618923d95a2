import { distance } from 'fastest-levenshtein';

/** Largest edit distance of a suggestion, relative to the length of the longer word. */
const maxEditRatio = 0.5;

/** The known word with the smallest edit distance to `word`; undefined if none is close enough. */
export const nearestWord = (word: string, known: readonly string[]): string | undefined => {
  const [best] = known
    .map((candidate) => ({ candidate, edits: distance(word, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  if (best === undefined) return undefined;
  const longest = Math.max(word.length, best.candidate.length);
  return best.edits <= longest * maxEditRatio ? best.candidate : undefined;
};
