import type { Host } from './hosts';

/** What a response states about the requests per second that its endpoint takes. */
export type StatedLimit =
  /** All daemons together may send at most `ratePerS` requests per second. */
  | { readonly kind: 'limit'; readonly ratePerS: number }
  | { readonly kind: 'none' }
  /** The statement cannot be read; `text` holds it. */
  | { readonly kind: 'malformed'; readonly text: string };

/** Highest request limit that is told apart, in requests per second. */
const maxRatePerS = 1e9;

/**
 * Parses the value of a header that states a request limit as a decimal number. Of several values the
 * lowest counts.
 */
export const parseStatedLimit = (value: string | readonly string[] | undefined): StatedLimit => {
  if (value === undefined) return { kind: 'none' };
  const text = String(value);
  const parts = text.split(',').map((part) => part.trim());
  const areDecimals = parts.every((part) => /^\d+(\.\d+)?$/u.test(part));
  return areDecimals
    ? { kind: 'limit', ratePerS: Math.min(maxRatePerS, ...parts.map(Number)) }
    : { kind: 'malformed', text };
};

/** Receives what an endpoint states in its response to a call that was sent at `sentAt`. */
export type LimitListener = (host: Host, stated: StatedLimit, sentAt: number) => void;

/** Passes on the request limits that endpoints state in their responses. */
export interface LimitSource {
  onLimit(listener: LimitListener): void;
}
