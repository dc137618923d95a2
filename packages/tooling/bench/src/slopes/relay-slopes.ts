import { measureAnswers } from '../relay';
import { type Slope, slopeOf } from './slope';

const streams = 16;

const answerLengths = [10, 50, 150, 400];

const streamCounts = [16, 48, 96];

/** CPU per request and token, and memory per open stream, of a daemon process. */
export const measureStreams = async (): Promise<readonly Slope[]> => {
  const figures = await measureAnswers([
    ...answerLengths.map((tokens) => ({ streams, tokens })),
    ...streamCounts.map((count) => ({ streams: count, tokens: 400 })),
  ]);
  process.stderr.write(`${JSON.stringify(figures, null, 1)}\n`);
  const [byLength, byCount] = [
    figures.slice(0, answerLengths.length),
    figures.slice(answerLengths.length),
  ];
  return [
    slopeOf({
      name: 'CPU of a request',
      unit: 'microseconds',
      per: 'tokens of its answer',
      method:
        'a daemon process and four engine processes, 16 streams, /proc; the intercept is the cost without tokens',
      sizes: answerLengths,
      values: byLength.map(({ cpuMicrosecondsPerRequest }) => cpuMicrosecondsPerRequest),
    }),
    slopeOf({
      name: 'memory per open stream',
      unit: 'bytes',
      per: 'open streams',
      method: 'a daemon process: resident set in the middle of 5 s, garbage not collected',
      sizes: streamCounts,
      values: byCount.map(({ residentBytes }) => residentBytes),
    }),
  ];
};
