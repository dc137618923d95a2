import type { Claim } from './claim';
import type { ClaimRecorder } from './claim-recorder';

/** A consumed permit: the proof that `dispatchOnce` needs, good for one dispatch. */
export class DispatchTicket {
  #used = false;

  readonly #claim: Claim;

  readonly #recorder: ClaimRecorder;

  private constructor(claim: Claim, recorder: ClaimRecorder) {
    this.#claim = claim;
    this.#recorder = recorder;
  }

  static create(claim: Claim, recorder: ClaimRecorder): DispatchTicket {
    return new DispatchTicket(claim, recorder);
  }

  get claim(): Claim {
    return this.#claim;
  }

  /** For `dispatchOnce` alone: takes the ticket; undefined if it was taken before. */
  take(): ClaimRecorder | undefined {
    if (this.#used) return undefined;
    this.#used = true;
    return this.#recorder;
  }
}
