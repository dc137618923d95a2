import type { ServerResponse } from 'node:http';
import { type AnswerShape, promptHash, tokenText } from './answer-text';
import type { EngineFaults, EngineGeneration } from './engine-config';

/** Writes the token stream of one request as server-sent events. */
export class TokenWriter {
  /** Position of the next token in the whole answer. */
  offset: number;

  private readonly hash: number;

  private writtenAt = 0;

  private written = 0;

  private isSilent = false;

  private constructor(
    readonly generation: EngineGeneration,
    private readonly shape: AnswerShape,
    private readonly response: ServerResponse,
  ) {
    this.offset = generation.resume.length;
    this.hash = promptHash(generation);
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
    response.flushHeaders();
  }

  static create(
    generation: EngineGeneration,
    shape: AnswerShape,
    response: ServerResponse,
  ): TokenWriter {
    return new TokenWriter(generation, shape, response);
  }

  /** Sends nothing from now on and keeps the connection open. */
  silence(): void {
    this.isSilent = true;
  }

  /** Writes up to `count` tokens and tells whether the stream goes on. */
  advance(count: number, faults: EngineFaults, now: number): 'open' | 'ended' | 'broken' {
    if (this.isSilent || this.response.writableNeedDrain) return 'open';
    if (faults.crossStreams && this.written === 0) this.writeCrossed();
    const room = (faults.breakAfterTokens ?? Infinity) - this.written;
    const last = Math.min(this.shape.tokens, this.offset + Math.min(count, room));
    if (last > this.offset) this.writeTokens(last, now);
    if (room <= count) {
      // Ending the socket first lets the tokens that were written arrive.
      this.response.socket?.destroySoon();
      return 'broken';
    }
    if (this.offset < this.shape.tokens) return 'open';
    this.writeEvent({ ...this.ids(), offset: this.offset, end: this.shape.finishReason });
    this.response.end();
    return 'ended';
  }

  /** Shows that the request is alive if nothing was written for `idleMs`. */
  comment(idleMs: number, now: number): void {
    if (this.isSilent || this.response.writableNeedDrain || now - this.writtenAt < idleMs) return;
    this.writtenAt = now;
    this.response.write(': waiting\n\n');
  }

  /** Ends the stream with an error. */
  fail(message: string): void {
    const outcome = this.written === 0 ? 'not_run' : 'unknown';
    this.writeEvent({ error: { message, outcome } });
    this.response.end();
  }

  private ids(): { id: string; attempt: number } {
    return { id: this.generation.requestId, attempt: this.generation.attempt };
  }

  private writeTokens(last: number, now: number): void {
    const tokens = Array.from({ length: last - this.offset }, (_, index) =>
      tokenText(this.hash, this.offset + index),
    );
    this.writeEvent({ ...this.ids(), offset: this.offset, tokens });
    this.written += tokens.length;
    this.offset = last;
    this.writtenAt = now;
  }

  private writeCrossed(): void {
    const { id, attempt } = this.ids();
    this.writeEvent({ id, attempt: attempt + 1, offset: this.offset, tokens: [' crossed'] });
  }

  private writeEvent(data: unknown): void {
    this.response.write(`data: ${JSON.stringify(data)}\n\n`);
  }
}
