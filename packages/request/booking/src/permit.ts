import { err, ok, type Result } from 'neverthrow';
import { type Claim, dispatchWindowMs } from './claim';
import type { ClaimRecorder } from './claim-recorder';
import { DispatchTicket } from './dispatch-ticket';

/** Why a permit cannot be consumed. Nothing is dispatched in either case. */
export interface DispatchRefusal {
  readonly kind: 'spent' | 'too_late';
  readonly message: string;
}

/**
 * The right to dispatch one booking, granted for a claim that the store has confirmed. A permit is
 * used once: it is either consumed for a dispatch or released. Only the ledger and `dispatchOnce`
 * create permits.
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
   * Converts the permit into a ticket. Call it immediately before the dispatch with the current
   * time in ms. After the dispatch window, other daemons may treat the claim as unknown or expired,
   * so the permit is refused and the claim released. A process that is paused between this call and
   * sending the request can still dispatch late. The key stays claimed until it expires, so the
   * booking runs at most once unless the pause exceeds 24 h.
   */
  consume(now: number): Result<DispatchTicket, DispatchRefusal> {
    if (this.#spent) return err({ kind: 'spent', message: 'the permit was used before' });
    this.#spent = true;
    const age = now - this.#claim.claimedAt;
    // A negative age means that the clock was set back, so the real age is unknown.
    if (this.#recorder.checksDispatchWindow && (age < 0 || age > dispatchWindowMs)) {
      // eslint-disable-next-line no-void -- if the release fails, the claim expires by itself
      void this.#recorder.release(this.#claim);
      const message = `the claim is ${age} ms old, and a dispatch must start within ${dispatchWindowMs} ms`;
      return err({ kind: 'too_late', message });
    }
    return ok(DispatchTicket.create(this.#claim, this.#recorder));
  }

  /** Releases the claim without a dispatch. Does nothing if the permit was already used. */
  async release(): Promise<void> {
    if (this.#spent) return;
    this.#spent = true;
    await this.#recorder.release(this.#claim);
  }
}
