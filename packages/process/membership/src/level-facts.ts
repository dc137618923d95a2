import { hash32 } from '@currantdrift/core';
import { type Fact, FactPrefix, type Rank } from './fact';

/** Encoded size per endpoint: 4 bytes for the hash of its name and 1 for its level. */
const entryBytes = 5;

/** Encodes the load levels of a watcher's endpoints in one fact, 5 bytes per endpoint. */
export const levelsFact = (
  watcher: string,
  levels: ReadonlyMap<string, number>,
  rank: Rank,
): Fact => {
  const bytes = new Uint8Array(levels.size * entryBytes);
  const view = new DataView(bytes.buffer);
  [...levels].forEach(([endpoint, level], index) => {
    view.setUint32(index * entryBytes, hash32(endpoint));
    view.setUint8(index * entryBytes + entryBytes - 1, level);
  });
  return { key: `${FactPrefix.levels}${watcher}`, rank, value: bytes };
};

/** Parses load levels, keyed by the hash of the endpoint's name. */
export const readLevels = (fact: Fact): ReadonlyMap<number, number> => {
  const levels = new Map<number, number>();
  if (!(fact.value instanceof Uint8Array)) return levels;
  const { buffer, byteOffset, byteLength } = fact.value;
  const view = new DataView(buffer, byteOffset, byteLength);
  for (let at = 0; at + entryBytes <= byteLength; at += entryBytes) {
    levels.set(view.getUint32(at), view.getUint8(at + entryBytes - 1));
  }
  return levels;
};
