import type { CalendarWindow } from '@currantdrift/core';

const dayMs = 86_400_000;

const timeOfDayMs = (text: string): number => {
  const [hours, minutes] = text.split(':').map(Number);
  return (hours * 60 + minutes) * 60_000;
};

/**
 * The window that is open at `now`, otherwise the next to open; times in ms since the Unix epoch.
 */
export const currentOrNextWindow = (
  windows: readonly CalendarWindow[],
  now: number,
): { readonly from: number; readonly until: number } | undefined => {
  const today = Math.floor(now / dayMs) * dayMs;
  return windows
    .flatMap(({ from, to }) => {
      const start = timeOfDayMs(from);
      const length = (timeOfDayMs(to) - start + dayMs) % dayMs;
      return [-dayMs, 0, dayMs].map((shift) => ({
        from: today + shift + start,
        until: today + shift + start + length,
      }));
    })
    .filter(({ until }) => until > now)
    .sort((a, b) => a.from - b.from)[0];
};
