/** Bytes of heap and buffers in use after a collection; exact only with `--expose-gc`. */
export const usedBytes = (): number => {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

const memoryRuns = 7;

const keptOnce = (make: () => unknown): number => {
  const before = usedBytes();
  const kept = [make()];
  const bytes = usedBytes() - before;
  // Used after the count, so that the value is not collected before it.
  return kept.length === 1 ? bytes : Number.NaN;
};

/** Bytes that the value of `make` keeps; the median of several runs. */
export const keptBytes = (make: () => unknown): number =>
  Array.from({ length: memoryRuns }, () => keptOnce(make)).sort((a, b) => a - b)[
    Math.floor(memoryRuns / 2)
  ];

/** Processor time of this process in one call of `action`, in microseconds; the median of `runs`. */
export const cpuMicroseconds = async (
  runs: number,
  action: (run: number) => unknown,
): Promise<number> => {
  const times: number[] = [];
  for (let run = 0; run < runs; run += 1) {
    const start = process.cpuUsage();
    await action(run);
    const { user, system } = process.cpuUsage(start);
    times.push(user + system);
  }
  return times.sort((a, b) => a - b)[Math.floor(runs / 2)];
};
