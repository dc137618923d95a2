import type { NodeOptions } from '@currantdrift/node';

/** What a switched-off protection changes; an empty change stands for one made by the runner. */
type Change = Partial<Pick<NodeOptions, 'attempts' | 'placement' | 'protections' | 'queue'>>;

const never = 1_000_000_000;

const unlimited = 1_000_000;

const changes = {
  /** Engines ignore the fencing token although the host list says that they check it. */
  'engine-fencing': {},
  'intent-before-order': { protections: { placement: { intentBeforeOrder: false } } },
  'count-in-doubt': { protections: { placement: { countInDoubt: false } } },
  'pair-exclusion': { protections: { placement: { pairExclusion: false } } },
  'claim-before-dispatch': { protections: { booking: { claimBeforeDispatch: false } } },
  'claim-nonce': { protections: { booking: { nonceReRead: false } } },
  'check-before-dispatch': { protections: { booking: { checkBeforeDispatch: false } } },
  'early-refusal': { protections: { admission: { earlyRefusal: false } } },
  'queue-bounds': { queue: { capacity: unlimited, callerCapacity: unlimited } },
  'part-identity': { attempts: { checks: { identity: false, offset: true } } },
  'part-checks': { attempts: { checks: { identity: false, offset: false } } },
  'progress-timeouts': { attempts: { firstTokenTimeoutMs: never, progressTimeoutMs: never } },
  retries: { attempts: { maxAttempts: 1 } },
  'monotone-bundles': { protections: { bundle: { monotone: false } } },
  'rollout-nonce': { protections: { rollout: { nonceReRead: false } } },
  /** A lost answer of an endpoint looks to the daemon as if nothing had been sent. */
  'failure-kinds': {},
  /** A planned stop ends the process at once. */
  'graceful-stop': {},
  /** Calls to endpoints that limit their requests need no permit. */
  'request-limits': { protections: { requestLimits: false } },
  /** Prompts that crash engines are sent on. */
  'crash-quarantine': { protections: { crashQuarantine: false } },
  /** Daemons do not see that a host or an endpoint is leaving. */
  'leaving-marks': {},
} as const satisfies Readonly<Record<string, Change>>;

export type Protection = keyof typeof changes;

/** Protections that a run can switch off. */
export const protectionNames = Object.keys(changes) as readonly Protection[];

/** Options of a daemon with one protection switched off. */
export const changeFor = (off: Protection | undefined): Change =>
  off === undefined ? {} : changes[off];
