/** Parameters for the detection of prompts that crash engines. */
export interface QuarantineSettings {
  /** Crashes after which a part is held back if the engines had begun to answer. */
  readonly minCrashes: number;
  /** The same if no answer had begun at some of the crashes. */
  readonly minUnansweredCrashes: number;
  /** Number of different prompts among these crashes. */
  readonly minPrompts: number;
  /** Time from the first event of an answer after which the engine's survival clears its prompt, in ms. */
  readonly clearAfterMs: number;
  /** Time for which an answer clears the parts of its prompt at later crashes, in ms. */
  readonly clearedMs: number;
  /** Time for which crashes count as evidence, in ms. */
  readonly evidenceMs: number;
  /** Shortest time for which prompts are held back; the longest is twice that, in ms. */
  readonly quarantineMs: number;
  /** Bounds of the tables; the oldest entries are dropped first. */
  readonly maxCrashes: number;
  readonly maxClearedParts: number;
  readonly maxQuarantines: number;
}

export const defaultQuarantineSettings: QuarantineSettings = {
  minCrashes: 2,
  minUnansweredCrashes: 3,
  minPrompts: 2,
  clearAfterMs: 500,
  clearedMs: 5_000,
  evidenceMs: 600_000,
  quarantineMs: 600_000,
  maxCrashes: 256,
  maxClearedParts: 20_000,
  maxQuarantines: 1_000,
};
