/* eslint-disable no-bitwise -- hashes are defined on 32-bit words */

/** 32-bit FNV-1a hash of the UTF-16 code units of `text`, with a finalizer for short inputs. */
export const hash32 = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * Members ordered by rendezvous hashing for `key`, best first.
 * Removing a member does not change the order of the others.
 */
export const rendezvousOrder = (key: string, members: readonly string[]): string[] =>
  members
    .map((member) => ({ member, score: hash32(`${key}\u0000${member}`) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
