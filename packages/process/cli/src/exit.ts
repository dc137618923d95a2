/** Exit codes of the client. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  /** The change may have taken effect; the same command again settles it. */
  unknown: 4,
  unreachable: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
