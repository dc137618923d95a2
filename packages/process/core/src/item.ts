/**
 * Something that an engine can load: a model (`quote-7`) or an adapter of a model
 * (`quote-7:venues`). An adapter is usable only on an engine that has its model loaded.
 */
export interface Item {
  readonly name: string;
  readonly version: string;
}

/** Key of an item with its version, as engines report it: `quote-7@3`. */
export const itemKey = (item: Item): string => `${item.name}@${item.version}`;

/** Parses an item key; undefined if `key` has no version. */
export const parseItemKey = (key: string): Item | undefined => {
  const at = key.lastIndexOf('@');
  if (at <= 0 || at === key.length - 1) return undefined;
  return { name: key.slice(0, at), version: key.slice(at + 1) };
};

/** Model name of a model or an adapter. */
export const modelOf = (name: string): string => name.split(':', 1)[0];

/** Whether `name` is the name of an adapter. */
export const isAdapter = (name: string): boolean => name.includes(':');
