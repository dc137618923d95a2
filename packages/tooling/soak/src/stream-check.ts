import type { Attempt } from './observations';
import type { Violation } from './violation';

/** Streams that are taken up from which their share is judged. */
const minTakenUp = 12;

/** Part of the share of new streams that must go on. */
const minShare = 0.5;

/** Streams that hold events of engines of several software versions, over all tries of their clients. */
export const mixedStreamViolations = (attempts: readonly Attempt[]): Violation[] => {
  const seen = new Map<string, Set<string>>();
  return attempts.flatMap(({ stream, softwareVersions, endedAt: at, id }) => {
    const versions = seen.get(stream) ?? new Set();
    const before = versions.size;
    softwareVersions.forEach((version) => versions.add(version));
    seen.set(stream, versions);
    if (versions.size <= 1 || versions.size === before) return [];
    const text = `${id} of stream ${stream} holds events of ${[...versions].join(' and ')}`;
    return [{ at, rule: 'one software version', text }];
  });
};

const shareOf = (attempts: readonly Attempt[]): number =>
  attempts.filter(({ events }) => events.length > 0).length / attempts.length;

/** Streams that clients take up and that do not go on, though engines of their version serve. */
export const lostStreamViolations = (attempts: readonly Attempt[]): Violation[] => {
  const takenUp = attempts.filter(({ resumedAfter, canGoOn }) => resumedAfter > 0 && canGoOn);
  const begun = attempts.filter(({ resumedAfter }) => resumedAfter === 0);
  if (takenUp.length < minTakenUp || begun.length === 0) return [];
  const [share, shareOfNew] = [shareOf(takenUp), shareOf(begun)];
  if (share >= minShare * shareOfNew) return [];
  const percent = (part: number) => `${Math.round(part * 100)}%`;
  const text = `${percent(share)} of ${takenUp.length} streams went on, ${percent(shareOfNew)} of new ones began`;
  return [{ at: takenUp[0].endedAt, rule: 'streams go on', text }];
};
