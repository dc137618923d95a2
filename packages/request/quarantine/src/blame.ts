import type { Quarantine, Suspect } from './crash-report';
import type { QuarantineSettings } from './settings';
import { isRequestSubject } from './subjects';

/** The requests that may have caused one crash, with the subjects that are not cleared. */
export interface CrashEvidence {
  /** Engine and start, as `id@start`. */
  readonly crash: string;
  readonly suspects: readonly Suspect[];
}

/** What speaks against one subject: a part of prompts, or a request. */
interface Accusation {
  readonly subject: string;
  readonly crashes: Set<string>;
  readonly prompts: Set<string>;
  /** Prompt parts that all accused requests with the subject have in common. */
  common: readonly string[];
  hasUnanswered: boolean;
  /** Whether other requests were as likely at some of the crashes. */
  hasRivals: boolean;
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

const accuse = (
  accused: Map<string, Accusation>,
  crash: string,
  suspect: Suspect,
  hasRivals: boolean,
): void => {
  const parts = suspect.parts.filter((subject) => !isRequestSubject(subject));
  suspect.parts.forEach((subject) => {
    const known = accused.get(subject) ?? {
      subject,
      crashes: new Set(),
      prompts: new Set(),
      common: parts,
      hasUnanswered: false,
      hasRivals: false,
    };
    known.crashes.add(crash);
    known.prompts.add(suspect.prompt);
    known.common = known.common.filter((one) => parts.includes(one));
    known.hasUnanswered ||= !suspect.hasBegun;
    known.hasRivals ||= hasRivals;
    accused.set(subject, known);
  });
};

const isStrictSubset = (one: ReadonlySet<string>, other: ReadonlySet<string>): boolean =>
  one.size < other.size && [...one].every((member) => other.has(member));

/** Prompt parts that occur at several crashes in different requests. */
const blamedParts = (
  accusations: readonly Accusation[],
  { minCrashes, minUnansweredCrashes, minPrompts }: QuarantineSettings,
): readonly Accusation[] =>
  accusations.filter(({ subject, crashes, prompts, hasUnanswered }) => {
    const needed = hasUnanswered ? minUnansweredCrashes : minCrashes;
    return !isRequestSubject(subject) && crashes.size >= needed && prompts.size >= minPrompts;
  });

/**
 * Requests that were at several crashes. One that was only where another request was at more crashes is
 * not to blame: it was sent to the other's next engine.
 */
const blamedRequests = (
  accusations: readonly Accusation[],
  { minCrashes, minUnansweredCrashes }: QuarantineSettings,
): readonly Accusation[] => {
  const requests = accusations.filter(({ subject }) => isRequestSubject(subject));
  return requests.filter(({ crashes, hasUnanswered, hasRivals }) => {
    const needed = hasUnanswered || hasRivals ? minUnansweredCrashes : minCrashes;
    const isExplained = requests.some((other) => isStrictSubset(crashes, other.crashes));
    return crashes.size >= needed && !isExplained;
  });
};

/**
 * Finds the subjects that crash engines. Prompt parts that always occur together are blamed together:
 * requests with only some of them are served and show which one is to blame.
 */
export const blame = (
  service: string,
  evidence: readonly CrashEvidence[],
  settings: QuarantineSettings,
): Quarantine[] => {
  const accused = new Map<string, Accusation>();
  evidence.forEach((one) => {
    const suspects = likelySuspects(one);
    suspects.forEach((suspect) => accuse(accused, one.crash, suspect, suspects.length > 1));
  });
  const accusations = [...accused.values()];
  return [
    ...blamedParts(accusations, settings).map(({ common, crashes }) => ({
      service,
      parts: [...common].sort(),
      crashes: [...crashes],
    })),
    ...blamedRequests(accusations, settings).map(({ subject, crashes }) => ({
      service,
      parts: [subject],
      crashes: [...crashes],
    })),
  ];
};
