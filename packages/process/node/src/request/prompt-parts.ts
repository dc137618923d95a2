import { createHash } from 'node:crypto';
import type { ChatMessage } from '@currantdrift/core';

/** Length of the identifier of a message, in hexadecimal digits. */
const idLength = 24;

/** Identifies each message of a prompt; other prompts may contain the same messages. */
export const promptParts = (messages: readonly ChatMessage[]): readonly string[] =>
  messages.map(({ role, content }) =>
    createHash('sha256').update(`${role}\n${content}`).digest('hex').slice(0, idLength),
  );
