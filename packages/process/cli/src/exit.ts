/** Exit codes of the client. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  /** The change may have taken effect; running the command again resolves it. */
  unknown: 4,
  unreachable: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
