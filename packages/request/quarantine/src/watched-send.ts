import { defaultQuarantineSettings } from './settings';

const { clearAfterMs } = defaultQuarantineSettings;

/** A request that is sent to an engine. */
export interface WatchedRequest {
  readonly service: string;
  readonly endpoint: string;
  /** Start of the engine, in ms since the epoch. */
  readonly bornAt: number;
  /** Parts of the prompt in order; the last one belongs to the request itself. */
  readonly promptParts: readonly string[];
  /** Identifies what the client asks for; repeats under other ids have the same digest. */
  readonly digest: string;
}

/** Learns how the answers to watched sends begin and end. */
export interface AnswerObserver {
  /** The send is no longer at an engine. */
  remove(send: WatchedSend): void;
  /** The engine has survived the beginning of its answer. */
  clear(request: WatchedRequest, now: number): void;
  /** The engine has sent the whole answer at once; a crash after it would show a little later. */
  clearLater(request: WatchedRequest): void;
  /** The connection broke; returns whether the engine has ended and the request may be the reason. */
  examine(send: WatchedSend, now: number): Promise<boolean>;
}

/** A request at an engine. */
export class WatchedSend {
  private begunAt: number | undefined;

  private firstEventAt: number | undefined;

  private isCleared = false;

  private constructor(
    private readonly watch: AnswerObserver,
    readonly request: WatchedRequest,
    /** Ends the send. */
    readonly cancel: (reason: Error) => void,
  ) {}

  static create(
    watch: AnswerObserver,
    request: WatchedRequest,
    cancel: (reason: Error) => void,
  ): WatchedSend {
    return new WatchedSend(watch, request, cancel);
  }

  /** Whether the engine has begun to answer. */
  get hasBegun(): boolean {
    return this.begunAt !== undefined;
  }

  /** Whether an event of the answer has come. */
  get hasEvent(): boolean {
    return this.firstEventAt !== undefined;
  }

  /** The engine has sent the head of its answer. */
  recordBegin(now: number): void {
    this.begunAt ??= now;
  }

  /** The engine has sent an event. Later events show that it survived the beginning of the answer. */
  recordEvent(now: number): void {
    this.recordBegin(now);
    this.firstEventAt ??= now;
    if (now - this.firstEventAt >= clearAfterMs) this.clear(now);
  }

  /** The answer is complete. */
  complete(now: number): void {
    this.recordEvent(now);
    this.end();
    if (!this.isCleared) this.watch.clearLater(this.request);
  }

  /** The send was given up. */
  end(): void {
    this.watch.remove(this);
  }

  /**
   * The connection broke. Returns whether the engine has ended and this request may be the reason, so
   * that it should not be sent to another one.
   */
  async examineBreak(now: number): Promise<boolean> {
    this.watch.remove(this);
    const { firstEventAt = now } = this;
    const isTooOld = now - firstEventAt >= clearAfterMs;
    return isTooOld ? false : this.watch.examine(this, now);
  }

  private clear(now: number): void {
    if (this.isCleared) return;
    this.isCleared = true;
    this.watch.clear(this.request, now);
  }
}
