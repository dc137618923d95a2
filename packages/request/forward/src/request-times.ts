import type { Fields } from '@currantdrift/core';
import type { Customer, Route } from '@currantdrift/routes';

/** What a request waits for before it is sent. */
export const WaitPart = {
  /** Room at an endpoint that can serve it. */
  queue: 'queue',
  /** An endpoint that holds its model. */
  load: 'load',
} as const;
export type WaitPart = (typeof WaitPart)[keyof typeof WaitPart];

const rounded = (ms: number | undefined) => (ms === undefined ? undefined : Math.round(ms));

/** Where the time of one request went until its first byte, in ms, for its log line. */
export class RequestTimes {
  private customer: string | undefined;

  private firstByteTargetMs: number | undefined;

  private readonly waits = new Map<WaitPart, number>();

  private firstByteMs: number | undefined;

  private constructor(private readonly arrivedAt: number) {}

  static create(arrivedAt: number): RequestTimes {
    return new RequestTimes(arrivedAt);
  }

  /** Adds what is known once the request is authorized. */
  describe(customer: Customer | undefined, { firstByteTargetMs }: Route): this {
    this.customer = customer?.name;
    this.firstByteTargetMs = firstByteTargetMs;
    return this;
  }

  addWait(part: WaitPart, ms: number): void {
    this.waits.set(part, (this.waits.get(part) ?? 0) + ms);
  }

  /** Records that the first byte of the answer is passed on now. */
  recordFirstByte(now: number): void {
    this.firstByteMs ??= now - this.arrivedAt;
  }

  /** The parts that the request has waited in, with the time in each. */
  get parts(): readonly (readonly [WaitPart, number])[] {
    return [...this.waits];
  }

  get fields(): Fields {
    return {
      customer: this.customer,
      firstByteMs: rounded(this.firstByteMs),
      firstByteTargetMs: rounded(this.firstByteTargetMs),
      queueMs: rounded(this.waits.get(WaitPart.queue)),
      loadWaitMs: rounded(this.waits.get(WaitPart.load)),
    };
  }
}
