import type { Claim, RecordedOutcome } from './claim';

/** Writes what became of a claim; the promises resolve when it is written or has expired. */
export interface ClaimRecorder {
  recordDone(claim: Claim, outcome: RecordedOutcome): Promise<void>;
  recordUnknown(claim: Claim): Promise<void>;
  release(claim: Claim): Promise<void>;
  readonly checksTime: boolean;
}
