import { err, ok, type Result } from 'neverthrow';
import { type Claim, dispatchWindowMs } from './claim';
import type { ClaimRecorder } from './claim-recorder';
import { DispatchTicket } from './dispatch-ticket';

/** Why a permit cannot be used. In each case this use dispatches nothing. */
export interface DispatchRefusal {
  readonly kind: 'spent' | 'too_late';
  readonly message: string;
}

/**
 * The right to dispatch one booking, from a claim that the store confirmed. It is used once:
 * either consumed for a dispatch or released. Only the ledger makes permits.
 */
export class Permit {
  #spent = false;

  readonly #claim: Claim;

  readonly #recorder: ClaimRecorder;

  private constructor(claim: Claim, recorder: ClaimRecorder) {
    this.#claim = claim;
    this.#recorder = recorder;
  }

  static create(claim: Claim, recorder: ClaimRecorder): Permit {
    return new Permit(claim, recorder);
  }

  get claim(): Claim {
    return this.#claim;
  }

  /**
   * Turns the permit into a ticket; to be called right before the dispatch with the present time
   * in ms. Refused when the dispatch window has passed, because others may take the claim for
   * unknown or expired by then; the claim is then released. A process that is paused after this
   * call and before its bytes leave can still dispatch late: the key stays claimed until it
   * expires, so the booking runs at most once unless the pause exceeds 24 h.
   */
  consume(now: number): Result<DispatchTicket, DispatchRefusal> {
    if (this.#spent) return err({ kind: 'spent', message: 'the permit was used before' });
    this.#spent = true;
    const age = now - this.#claim.claimedAt;
    // A negative age means that the clock was set back, so the true age is not known.
    if (this.#recorder.checksTime && (age < 0 || age > dispatchWindowMs)) {
      // eslint-disable-next-line no-void -- a release that fails leaves the claim to its expiry
      void this.#recorder.release(this.#claim);
      const message = `the claim is ${age} ms old, and a dispatch must start within ${dispatchWindowMs} ms`;
      return err({ kind: 'too_late', message });
    }
    return ok(DispatchTicket.create(this.#claim, this.#recorder));
  }

  /** Gives the claim back without a dispatch. Does nothing if the permit was used before. */
  async release(): Promise<void> {
    if (this.#spent) return;
    this.#spent = true;
    await this.#recorder.release(this.#claim);
  }
}
