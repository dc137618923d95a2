/** Length to which texts that clients send are cut in logs, in characters. */
const maxLoggedLength = 200;

/** A text that a client sent, cut for a log line. */
export const logText = (text: string | undefined): string | undefined =>
  text?.slice(0, maxLoggedLength);
