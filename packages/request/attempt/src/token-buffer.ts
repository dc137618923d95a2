/**
 * Microtasks after which no further token of the same input event is expected. An async generator
 * hands on the next part that it holds in fewer; each turn costs about 0.1 us per group.
 */
const settleTurns = 3;

/**
 * Tokens between an endpoint and a caller. What arrives while the caller is busy goes out together
 * at its next turn; a full buffer makes the reader of the endpoint wait.
 */
export class TokenBuffer implements AsyncIterable<readonly string[]> {
  private held: string[] = [];

  private ended = false;

  private onTokens: (() => void) | undefined;

  private onRoom: (() => void) | undefined;

  private constructor(
    private readonly maxTokens: number,
    private readonly onReturn: () => void,
  ) {}

  /** `onReturn` is called when the caller stops reading before the end. */
  static create(maxTokens: number, onReturn: () => void): TokenBuffer {
    return new TokenBuffer(maxTokens, onReturn);
  }

  get isFull(): boolean {
    return this.held.length >= this.maxTokens;
  }

  push(tokens: readonly string[]): void {
    if (this.ended) return;
    this.held.push(...tokens);
    this.wakeReader();
  }

  /** Resolves when there is room, or when the buffer has ended. */
  room(): Promise<void> {
    if (!this.isFull || this.ended) return Promise.resolve();
    return new Promise((resolve) => {
      this.onRoom = resolve;
    });
  }

  /** What is held still goes out; later tokens do not. */
  end(): void {
    this.ended = true;
    this.wakeReader();
    this.wakeWriter();
  }

  [Symbol.asyncIterator](): AsyncIterator<readonly string[], undefined> {
    return {
      next: () => this.next(),
      return: () => {
        this.held = [];
        if (!this.ended) this.onReturn();
        this.end();
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }

  private async next(): Promise<IteratorResult<readonly string[], undefined>> {
    while (this.held.length === 0 && !this.ended) {
      await new Promise<void>((resolve) => {
        this.onTokens = resolve;
      });
    }
    if (this.held.length === 0) return { done: true, value: undefined };
    await this.settled();
    const value = this.held;
    this.held = [];
    this.wakeWriter();
    return { done: false, value };
  }

  /** Waits, in microtasks only, for what arrives together with the tokens that are held. */
  private async settled(): Promise<void> {
    let seen = 0;
    while (this.held.length > seen && !this.isFull && !this.ended) {
      seen = this.held.length;
      for (let turn = 0; turn < settleTurns; turn += 1) await undefined;
    }
  }

  private wakeReader(): void {
    const wake = this.onTokens;
    this.onTokens = undefined;
    wake?.();
  }

  private wakeWriter(): void {
    const wake = this.onRoom;
    this.onRoom = undefined;
    wake?.();
  }
}
