import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

/** How a stream is opened and what counts as a token in it. */
export interface StreamTarget {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Body of the request with this number. */
  readonly body: (index: number) => string;
  /** Text that stands once in the part of each token event. */
  readonly marker: string;
}

/** What a load saw. Times are in microseconds. */
export interface StreamFigures {
  /** Requests with a whole answer. */
  readonly requests: number;
  /** Answers with status 429, each followed by another try. */
  readonly refused: number;
  readonly firstToken: Histogram;
  readonly gaps: Histogram;
}

/** Time between a refusal and the next try, in ms. */
const retryMs = 250;

const tooManyRequests = 429;

const microseconds = (ms: number): number => Math.max(0, Math.round(ms * 1000));

const readOne = async (
  target: StreamTarget,
  index: number,
  agent: Agent,
  { firstToken, gaps }: Pick<StreamFigures, 'firstToken' | 'gaps'>,
): Promise<boolean> => {
  const start = performance.now();
  const response = await request(target.url, {
    method: 'POST',
    headers: { 'Content-Type': 'application/json', ...target.headers },
    body: target.body(index),
    dispatcher: agent,
  });
  if (response.statusCode === tooManyRequests) {
    await response.body.dump();
    return false;
  }
  if (response.statusCode !== 200) {
    throw new Error(`${target.url}: ${response.statusCode} ${await response.body.text()}`);
  }
  let last: number | undefined;
  for await (const chunk of response.body) {
    if (!String(chunk).includes(target.marker)) continue;
    const now = performance.now();
    if (last === undefined) firstToken.recordValue(microseconds(now - start));
    else gaps.recordValue(microseconds(now - last));
    last = now;
  }
  return true;
};

/** Keeps `streams` streams open for `seconds`. */
export const runStreams = async (
  target: StreamTarget,
  streams: number,
  seconds: number,
): Promise<StreamFigures> => {
  const agent = new Agent({ connections: streams, pipelining: 1 });
  const figures = { requests: 0, refused: 0, firstToken: build(), gaps: build() };
  const end = performance.now() + seconds * 1000;
  const loop = async (first: number) => {
    for (let index = first; performance.now() < end; index += streams) {
      if (await readOne(target, index, agent, figures)) {
        figures.requests += 1;
      } else {
        figures.refused += 1;
        await sleep(retryMs);
      }
    }
  };
  await Promise.all(Array.from({ length: streams }, (_, index) => loop(index)));
  await agent.close();
  return figures;
};
