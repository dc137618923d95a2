import type { Quarantine, Suspect } from './crash-report';
import type { QuarantineSettings } from './settings';

/** The requests that may have caused one crash, with the parts that are not cleared. */
export interface CrashEvidence {
  /** Engine and start, as `id@start`. */
  readonly crash: string;
  readonly suspects: readonly Suspect[];
}

interface Accusation {
  readonly crashes: Set<string>;
  readonly prompts: Set<string>;
  /** Parts that all accused prompts with the part have in common. */
  common: readonly string[];
  hasUnanswered: boolean;
}

/**
 * The suspects that count. An engine crashes as it begins to answer, so a request whose answer had begun
 * without an event is the likeliest cause, and one that had not begun the least likely.
 */
const likelySuspects = ({ suspects }: CrashEvidence): readonly Suspect[] => {
  const begun = suspects.filter(({ hasBegun }) => hasBegun);
  const withoutEvent = begun.filter(({ hasEvent }) => !hasEvent);
  return [withoutEvent, begun, suspects].find(({ length }) => length > 0) ?? [];
};

const accuse = (accused: Map<string, Accusation>, crash: string, suspect: Suspect): void => {
  suspect.parts.forEach((part) => {
    const known = accused.get(part);
    if (known === undefined) {
      accused.set(part, {
        crashes: new Set([crash]),
        prompts: new Set([suspect.prompt]),
        common: suspect.parts,
        hasUnanswered: !suspect.hasBegun,
      });
      return;
    }
    known.crashes.add(crash);
    known.prompts.add(suspect.prompt);
    known.common = known.common.filter((one) => suspect.parts.includes(one));
    known.hasUnanswered ||= !suspect.hasBegun;
  });
};

/**
 * Finds prompt parts that occur at several crashes in different prompts. Parts that always occur together
 * are blamed together: requests with only some of them are served and show which one is to blame.
 */
export const blame = (
  service: string,
  evidence: readonly CrashEvidence[],
  settings: QuarantineSettings,
): Quarantine[] => {
  const accused = new Map<string, Accusation>();
  evidence.forEach((one) =>
    likelySuspects(one).forEach((suspect) => accuse(accused, one.crash, suspect)),
  );
  const { minCrashes, minUnansweredCrashes, minPrompts } = settings;
  return [...accused.values()]
    .filter(({ crashes, prompts, hasUnanswered }) => {
      const needed = hasUnanswered ? minUnansweredCrashes : minCrashes;
      return crashes.size >= needed && prompts.size >= minPrompts;
    })
    .map(({ common, crashes }) => ({
      service,
      parts: [...common].sort(),
      crashes: [...crashes],
    }));
};
