import type { PaceCause } from './endpoint-pace';

/** Receives how endpoints open, for logs and metrics. */
export interface PaceObserver {
  /** An endpoint began to open gradually. */
  onBegin(endpoint: string, cause: PaceCause): void;
  /** An endpoint has opened, `openingMs` after it began to. */
  onEnd(endpoint: string, cause: PaceCause, openingMs: number): void;
  /** A request went elsewhere, because the pace of the best endpoint did not allow it. */
  onDeferral(cause: PaceCause): void;
}

/** Reports changes of the endpoints' paces to an observer. */
export class PaceLog {
  private readonly openings = new Map<string, { readonly cause: PaceCause; readonly at: number }>();

  private constructor(private readonly observer: PaceObserver | undefined) {}

  static create(observer: PaceObserver | undefined): PaceLog {
    return new PaceLog(observer);
  }

  /** `cause` is why the endpoint is opening now; undefined if it has opened. */
  note(endpoint: string, cause: PaceCause | undefined, now: number): void {
    const opening = this.openings.get(endpoint);
    if (opening?.cause === cause) return;
    if (opening !== undefined) this.end(endpoint, opening, now);
    if (cause === undefined) return;
    this.openings.set(endpoint, { cause, at: now });
    this.observer?.onBegin(endpoint, cause);
  }

  countDeferral(cause: PaceCause): void {
    this.observer?.onDeferral(cause);
  }

  /** Drops an endpoint that no longer exists or was replaced. */
  forget(endpoint: string): void {
    this.openings.delete(endpoint);
  }

  private end(
    endpoint: string,
    { cause, at }: { readonly cause: PaceCause; readonly at: number },
    now: number,
  ): void {
    this.openings.delete(endpoint);
    this.observer?.onEnd(endpoint, cause, now - at);
  }
}
