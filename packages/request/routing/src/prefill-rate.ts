/** Assumed prompt tokens per ms of an endpoint that has shown no rate of its own. */
const usualTokensPerMs = 20;

/** Bounds of a learned rate, so that prompts from a cache or hidden waits do not falsify it. */
const minTokensPerMs = 10;
const maxTokensPerMs = 40;

/** Shortest prompt that says something of the rate; time besides the prefill outweighs shorter ones. */
const minPromptTokens = 200;

/** Number of the latest samples whose median counts, and from how many on. */
const maxSamples = 15;
const minSamples = 5;

/** Prompt tokens that one endpoint processes per ms, learned from its answers. */
export class PrefillRate {
  private readonly samples: number[] = [];

  private value = usualTokensPerMs;

  private constructor() {}

  static create(): PrefillRate {
    return new PrefillRate();
  }

  get tokensPerMs(): number {
    return this.value;
  }

  /**
   * Records that an endpoint with no other prompt to process took `prefillMs` at its usual speed for a
   * prompt. The median is used, since some prompts are cached and some waits are not seen.
   */
  observe(promptTokens: number, prefillMs: number): void {
    if (promptTokens < minPromptTokens || prefillMs <= 0) return;
    const rate = promptTokens / prefillMs;
    this.samples.push(Math.min(maxTokensPerMs, Math.max(minTokensPerMs, rate)));
    if (this.samples.length > maxSamples) this.samples.shift();
    if (this.samples.length < minSamples) return;
    const sorted = [...this.samples].sort((a, b) => a - b);
    this.value = sorted[Math.floor(sorted.length / 2)];
  }
}
