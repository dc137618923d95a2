// Measures the relay of token streams over 127.0.0.1: node bench/run.mjs
import { SystemClock } from '@currantdrift/core';
import { measureRelay } from '@currantdrift/peer';

const clock = SystemClock.create();

// 26 ms between the tokens of a stream; 790 streams give 30,400 tokens/s, the target of a daemon.
for (const streams of [790]) {
  const options = { clock, streams, tokenMs: 26, durationMs: 8000, ports: [22_001, 22_002] };
  console.log(JSON.stringify(await measureRelay(options)));
}
