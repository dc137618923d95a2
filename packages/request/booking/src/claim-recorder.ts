import type { Claim, RecordedOutcome } from './claim';

/** Records how a claim ended. The promises resolve when it is written or the claim has expired. */
export interface ClaimRecorder {
  recordDone(claim: Claim, outcome: RecordedOutcome): Promise<void>;
  recordUnknown(claim: Claim): Promise<void>;
  release(claim: Claim): Promise<void>;
  /** Whether consuming a permit checks the dispatch window; see `Protections`. */
  readonly checksDispatchWindow: boolean;
}
