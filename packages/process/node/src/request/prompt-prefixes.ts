import { type ChatMessage, hash32 } from '@currantdrift/core';

/** Maximum number of prefixes hashed per prompt. */
const maxPrefixes = 8;

/** Hashes a prompt's prefixes that end at message boundaries, shortest first. */
export const promptPrefixes = (messages: readonly ChatMessage[]): readonly string[] => {
  let text = '';
  return messages.slice(0, maxPrefixes).map(({ role, content }) => {
    text += `${role}\n${content}\n`;
    return hash32(text).toString(16);
  });
};
