import { type ChatMessage, hash32 } from '@currantdrift/core';

/** Prefixes that are hashed for one prompt. */
const maxPrefixes = 8;

/** Hashes of a prompt's prefixes at message borders, shortest first. */
export const promptPrefixes = (messages: readonly ChatMessage[]): readonly string[] => {
  let text = '';
  return messages.slice(0, maxPrefixes).map(({ role, content }) => {
    text += `${role}\n${content}\n`;
    return hash32(text).toString(16);
  });
};
