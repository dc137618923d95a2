const byName = (a: { readonly name: string }, b: { readonly name: string }): number => {
  if (a.name === b.name) return 0;
  return a.name < b.name ? -1 : 1;
};

/** Sorts entries by the UTF-16 code units of their names. */
export const sortedByName = <T extends { readonly name: string }>(entries: readonly T[]): T[] =>
  [...entries].sort(byName);

/** Index of the first entry whose name is not before `name`; `entries` must be sorted by name. */
export const lowerBound = (entries: readonly { readonly name: string }[], name: string): number => {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (entries[middle].name < name) low = middle + 1;
    else high = middle;
  }
  return low;
};

/** The entry with a name; `entries` must be sorted by name. */
export const findByName = <T extends { readonly name: string }>(
  entries: readonly T[],
  name: string,
): T | undefined => {
  const entry = entries.at(lowerBound(entries, name));
  return entry?.name === name ? entry : undefined;
};

/** Adds entries to a list that is sorted by name, replacing entries with the same names. */
export const mergeByName = <T extends { readonly name: string }>(
  entries: readonly T[],
  fresh: readonly T[],
): T[] => {
  const result = [...entries];
  const added = fresh.filter((entry) => {
    const at = lowerBound(entries, entry.name);
    if (entries.at(at)?.name !== entry.name) return true;
    result[at] = entry;
    return false;
  });
  return added.length === 0 ? result : sortedByName([...result, ...added]);
};
