import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '@currantdrift/demo';
import { processUsage } from './process-usage';
import { runStreams, type StreamFigures, type StreamTarget } from './stream-load';

/** Figures of one number of concurrent streams, through the daemon and directly. */
export interface RelayFigures {
  readonly streams: number;
  readonly tokensPerSecond: number;
  readonly requestsPerSecond: number;
  readonly daemonCores: number;
  readonly cpuMicrosecondsPerToken: number;
  readonly firstTokenMs: number;
  readonly directFirstTokenMs: number;
  readonly firstTokenRatio: number;
  readonly gapMs: number;
  readonly directGapMs: number;
  readonly gapRatio: number;
  readonly residentMegabytes: number;
}

const seconds = 5;

const warmUpStreams = [8, 32, 96];

/** Tokens of each answer. */
const answerTokens = 400;

const folder = join(__dirname, '../deployment');

const messages = (index: number) => [{ role: 'user', content: `benchmark prompt ${index}` }];

const daemonTarget = (url: string, tokens = answerTokens): StreamTarget => ({
  url: `${url}/v1/chat/completions`,
  headers: { Authorization: 'Bearer load-example-key' },
  body: (index) =>
    JSON.stringify({
      model: 'relay',
      stream: true,
      max_tokens: tokens,
      messages: messages(index),
    }),
  marker: '"delta":{"content"',
});

const directTarget = (address: string): StreamTarget => ({
  url: `http://${address}/v1/completions`,
  headers: {},
  body: (index) =>
    JSON.stringify({
      requestId: `direct-${index}`,
      attempt: 1,
      item: 'relay@1',
      messages: messages(index),
      maxTokens: answerTokens,
      priority: 5,
      resume: [],
    }),
  marker: '"tokens"',
});

const medianMs = (figures: StreamFigures, what: 'firstToken' | 'gaps'): number =>
  figures[what].getValueAtPercentile(50) / 1000;

const round = (value: number): number => Number(value.toPrecision(4));

const measure = async (
  deployment: Deployment,
  streams: number,
  engine: string,
): Promise<RelayFigures> => {
  const [daemon] = [...deployment.daemons.values()];
  const direct = await runStreams(directTarget(engine), streams, seconds);
  const before = processUsage(daemon.process.pid);
  const start = performance.now();
  const relayed = await runStreams(daemonTarget(daemon.callers), streams, seconds);
  const elapsed = (performance.now() - start) / 1000;
  const after = processUsage(daemon.process.pid);
  const cpu = after.cpuSeconds - before.cpuSeconds;
  const tokens = relayed.requests * answerTokens;
  return {
    streams,
    tokensPerSecond: round(tokens / elapsed),
    requestsPerSecond: round(relayed.requests / elapsed),
    daemonCores: round(cpu / elapsed),
    cpuMicrosecondsPerToken: round((cpu / tokens) * 1e6),
    firstTokenMs: round(medianMs(relayed, 'firstToken')),
    directFirstTokenMs: round(medianMs(direct, 'firstToken')),
    firstTokenRatio: round(medianMs(relayed, 'firstToken') / medianMs(direct, 'firstToken')),
    gapMs: round(medianMs(relayed, 'gaps')),
    directGapMs: round(medianMs(direct, 'gaps')),
    gapRatio: round(medianMs(relayed, 'gaps') / medianMs(direct, 'gaps')),
    residentMegabytes: round(after.residentBytes / 1e6),
  };
};

/** Runs `measureWith` with a started copy of the deployment. */
const withDeployment = async <T>(
  measureWith: (deployment: Deployment) => Promise<T>,
): Promise<T> => {
  const deployment = await Deployment.create(folder);
  try {
    await deployment.start();
    const rollout = await deployment.rollout('bundle.json');
    if (rollout.code !== 0) throw new Error(`rollout: ${rollout.text}`);
    await deployment.ready();
    return await measureWith(deployment);
  } finally {
    await deployment.close();
  }
};

const engineAddress = '127.0.0.1:29400';

/** Measures what relaying costs, with one daemon and four engines as processes of their own. */
export const measureRelay = (
  sizes: readonly number[] = [1, 16, 256],
): Promise<readonly RelayFigures[]> =>
  withDeployment(async (deployment) => {
    const figures: RelayFigures[] = [];
    for (const streams of sizes) figures.push(await measure(deployment, streams, engineAddress));
    return figures;
  });

/** Cost of relaying answers of a fixed length, without other load on the daemon. */
export interface AnswerFigures {
  readonly streams: number;
  readonly answerTokens: number;
  readonly refused: number;
  readonly cpuMicrosecondsPerRequest: number;
  readonly residentBytes: number;
}

/** Measures a daemon with each number of streams and each length of answers, in that order. */
export const measureAnswers = (
  loads: readonly { readonly streams: number; readonly tokens: number }[],
): Promise<readonly AnswerFigures[]> =>
  withDeployment(async (deployment) => {
    const [daemon] = [...deployment.daemons.values()];
    // Lets code be compiled and the adaptive concurrency limits rise.
    for (const streams of warmUpStreams) {
      await runStreams(daemonTarget(daemon.callers, 20), streams, seconds);
    }
    const figures: AnswerFigures[] = [];
    for (const { streams, tokens } of loads) {
      const before = processUsage(daemon.process.pid);
      const load = runStreams(daemonTarget(daemon.callers, tokens), streams, seconds);
      await sleep((seconds * 1000) / 2);
      const { residentBytes } = processUsage(daemon.process.pid);
      const { refused, requests } = await load;
      const cpu = processUsage(daemon.process.pid).cpuSeconds - before.cpuSeconds;
      const cpuMicrosecondsPerRequest = round((cpu / requests) * 1e6);
      figures.push({
        streams,
        answerTokens: tokens,
        refused,
        cpuMicrosecondsPerRequest,
        residentBytes,
      });
    }
    return figures;
  });
