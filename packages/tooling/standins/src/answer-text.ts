import { type GenerationRequest, hash32 } from '@currantdrift/core';

/** What an answer depends on. */
export type Prompt = Pick<GenerationRequest, 'item' | 'messages' | 'maxTokens' | 'seed'>;

export interface AnswerShape {
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length';
}

/** Hash that stands for the item and the prompt. */
export const promptHash = (prompt: Pick<Prompt, 'item' | 'messages' | 'seed'>): number =>
  hash32(
    [prompt.item, prompt.seed ?? '', ...prompt.messages.map((m) => `${m.role}:${m.content}`)].join(
      '\u0000',
    ),
  );

/** Text of the token at `index` of the answer to a prompt. */
export const tokenText = (hash: number, index: number): string =>
  ` ${hash32(`${hash}/${index}`).toString(36)}`;

/** Length of the answer; `answerTokens` bounds it before `maxTokens` cuts it. */
export const answerShape = (
  prompt: Prompt,
  answerTokens: readonly [number, number] = [16, 256],
): AnswerShape => {
  const [least, most] = answerTokens;
  const natural = least + (promptHash(prompt) % (most - least + 1));
  return natural <= prompt.maxTokens
    ? { tokens: natural, finishReason: 'stop' }
    : { tokens: prompt.maxTokens, finishReason: 'length' };
};

/** All tokens of the answer that an engine stand-in gives to a prompt. */
export const expectedTokens = (
  prompt: Prompt,
  answerTokens?: readonly [number, number],
): string[] => {
  const hash = promptHash(prompt);
  const { tokens } = answerShape(prompt, answerTokens);
  return Array.from({ length: tokens }, (_, index) => tokenText(hash, index));
};
