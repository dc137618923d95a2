import type { IncomingMessage, ServerResponse } from 'node:http';
import { BodyBuffer } from './body-buffer';
import type { ByteBudget, HeldBytes } from './byte-budget';
import type { ShedReport } from './shed-report';

/** Memory of a header line beside its text, in bytes: two strings and their entries in two tables. */
const headerLineBytes = 100;

/** Limits for reading a body. */
export interface BodyReadLimits {
  readonly maxBytes: number;
  /** Longest time without data from the client, in ms. */
  readonly progressTimeoutMs: number;
}

/** Result of reading a request's body. */
export type BodyRead =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too_large' }
  | { readonly kind: 'stopped' }
  /** The client sent nothing for the progress timeout. */
  | { readonly kind: 'stalled' }
  /** The memory for clients is exhausted. */
  | { readonly kind: 'shed' }
  | { readonly kind: 'gone' };

const headBytes = ({ rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((total, text) => total + text.length + headerLineBytes / 2, 0);

/** Whether the length that a request states exceeds a limit. */
export const statesMoreThan = ({ headers }: IncomingMessage, maxBytes: number): boolean =>
  Number(headers['content-length'] ?? 0) > maxBytes;

/** The memory for clients of a process, and the report of what is given up to stay within it. */
export interface ClientMemory {
  readonly budget: ByteBudget;
  readonly report: ShedReport;
}

/** The memory that one request and its response occupy, counted in the process's budget. */
export class ClientBytes {
  private readonly held: HeldBytes;

  /** Ends the reading of the body, if it is going on. */
  private abandonBody: (() => void) | undefined;

  /** Memory of the head and the body, in bytes. */
  private requestBytes = 0;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    budget: ByteBudget,
    private readonly report: ShedReport,
    private readonly cut: () => void,
  ) {
    this.held = budget.hold(() => this.shed());
    this.held.pin(true);
    response.once('close', () => this.held.release());
  }

  /** `cut` ends a response that its client does not read. */
  static create(
    request: IncomingMessage,
    response: ServerResponse,
    { budget, report }: ClientMemory,
    cut: () => void,
  ): ClientBytes {
    return new ClientBytes(request, response, budget, report, cut);
  }

  /** Counts the head of the request; false if there is no memory for it. */
  admit(): boolean {
    const size = headBytes(this.request);
    if (!this.held.resize(size)) {
      this.report.record('request');
      this.dropHead();
      return false;
    }
    this.requestBytes = size;
    return true;
  }

  /**
   * Reads the body until `signal` aborts. Unless it is complete nothing more is read, so the response has
   * to close the connection. A stated length over the limit ends it before anything is read.
   */
  async readBody(limits: BodyReadLimits, signal: AbortSignal): Promise<BodyRead> {
    if (statesMoreThan(this.request, limits.maxBytes)) {
      this.request.pause();
      return { kind: 'too_large' };
    }
    this.held.pin(false);
    const read = await this.receive(limits, signal);
    this.abandonBody = undefined;
    this.held.pin(true);
    if (read.kind !== 'complete') {
      if (read.kind !== 'gone') this.request.pause();
      this.held.resize(0);
      this.dropHead();
    } else this.requestBytes = this.held.size;
    return read;
  }

  /** Counts the bytes of the response that the client has not read; cuts it if there is no memory. */
  countUnread(): void {
    const unread = this.response.writableLength;
    this.held.pin(unread === 0);
    if (!this.held.resize(this.requestBytes + unread) && unread > 0) this.shed();
  }

  private receive(
    { maxBytes, progressTimeoutMs }: BodyReadLimits,
    signal: AbortSignal,
  ): Promise<BodyRead> {
    const { request, held } = this;
    const buffer = BodyBuffer.create();
    const baseBytes = held.size;
    return new Promise((resolve) => {
      const done = new AbortController();
      const finish = (read: BodyRead) => {
        if (done.signal.aborted) return;
        done.abort();
        buffer.clear();
        resolve(read);
      };
      const timer = setTimeout(() => finish({ kind: 'stalled' }), progressTimeoutMs);
      done.signal.addEventListener('abort', () => clearTimeout(timer));
      this.abandonBody = () => finish({ kind: 'shed' });
      request.on('data', (chunk: Buffer) => {
        if (done.signal.aborted) return;
        timer.refresh();
        buffer.append(chunk);
        if (buffer.size > maxBytes) finish({ kind: 'too_large' });
        else if (!held.resize(baseBytes + buffer.allocatedBytes)) {
          this.report.record('request');
          finish({ kind: 'shed' });
        }
      });
      request.once('end', () => finish({ kind: 'complete', body: buffer.take() }));
      // The stream emits an error only if the client's connection fails.
      request.once('error', () => finish({ kind: 'gone' }));
      request.once('close', () => finish({ kind: 'gone' }));
      signal.addEventListener('abort', () => finish({ kind: 'stopped' }), { signal: done.signal });
      if (signal.aborted) finish({ kind: 'stopped' });
    });
  }

  /** The connection outlasts a refusal by a while, and the head takes more memory than the rest. */
  private dropHead(): void {
    this.request.rawHeaders = [];
    this.request.headers = {};
  }

  /** Gives up the request if its body is being read, or else the response that its client does not read. */
  private shed(): void {
    if (this.abandonBody !== undefined) {
      this.report.record('request');
      this.abandonBody();
      return;
    }
    this.report.record('response');
    this.cut();
  }
}
