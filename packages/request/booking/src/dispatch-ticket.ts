import type { Claim } from './claim';
import type { ClaimRecorder } from './claim-recorder';

/** A consumed permit. `dispatchOnce` requires it and uses it for a single dispatch. */
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

  /** Marks the ticket as used; undefined if it already was. Only `dispatchOnce` calls this. */
  take(): ClaimRecorder | undefined {
    if (this.#used) return undefined;
    this.#used = true;
    return this.#recorder;
  }
}
