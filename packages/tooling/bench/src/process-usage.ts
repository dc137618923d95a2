import { readFileSync } from 'node:fs';

/** Clock ticks per second of the times in /proc; fixed on Linux. */
const ticksPerSecond = 100;

const bytesPerPage = 4096;

/** Processor time and memory of a process. */
export interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the usage of a running process from /proc. */
export const processUsage = (pid: number): Usage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command in parentheses may contain spaces; fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return {
    cpuSeconds: (userTicks + systemTicks) / ticksPerSecond,
    residentBytes: pages * bytesPerPage,
  };
};
