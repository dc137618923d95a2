import { BoundedMap } from './bounded-map';

/** How long one complete answer took. */
export interface AnswerSample {
  /** Time from the send to the first byte, in ms. */
  readonly firstByteMs: number;
  /** Time from the first byte to the end, in ms. */
  readonly restMs: number;
  /** Most tokens that the request asked for; 0 if it states none. */
  readonly tokens: number;
}

/** Latest answers of a service that are kept. */
const maxSamples = 64;

/** Services of which answers are kept. */
const maxServices = 256;

/** Share of the answers that end within the expected time. */
const coveredShare = 0.9;

/** The smallest of the values that `coveredShare` of them do not exceed. */
const upperQuantile = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * coveredShare))] ?? 0;
};

/** The latest answers of each service, and how long a further one is expected to take. */
export class AnswerTimes {
  /** The samples of each service, in a ring that `nextIndex` goes round. */
  private readonly services = BoundedMap.create<{ samples: AnswerSample[]; nextIndex: number }>(
    maxServices,
  );

  private constructor() {}

  static create(): AnswerTimes {
    return new AnswerTimes();
  }

  record(service: string, sample: AnswerSample): void {
    const ring = this.services.get(service) ?? { samples: [], nextIndex: 0 };
    ring.samples[ring.nextIndex] = sample;
    ring.nextIndex = (ring.nextIndex + 1) % maxSamples;
    this.services.set(service, ring);
  }

  /**
   * Time within which nine in ten answers of the service with at most `tokens` tokens end, in ms; 0 if
   * none was seen.
   */
  expectedMs(service: string, tokens: number): number {
    const samples = this.services.get(service)?.samples ?? [];
    const firstByteMs = upperQuantile(samples.map((sample) => sample.firstByteMs));
    const msPerToken = upperQuantile(samples.map((one) => one.restMs / Math.max(1, one.tokens)));
    return firstByteMs + msPerToken * Math.max(1, tokens);
  }
}
