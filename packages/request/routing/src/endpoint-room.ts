import type { EndpointLoad } from './predictive-balancer';

/** An endpoint with its capacity. */
export interface EndpointCapacity {
  readonly id: string;
  /** Distinguishes successive processes with the same id. */
  readonly bornAt: number;
  readonly slots: number;
  /** KV memory, in tokens of prompts and answers; undefined for endpoints without models. */
  readonly cacheTokens: number | undefined;
}

/** What a request needs of an endpoint. */
export interface RoomNeed {
  /** Tokens of the prompt and of the longest answer that the request allows; 0 if unknown. */
  readonly tokens: number;
  readonly promptTokens: number;
  /**
   * Requests that may wait at the endpoint ahead of this one, as a share of its slots. A negative share
   * leaves slots to other requests.
   */
  readonly queueShare: number;
  /** Prompt tokens of this process above which an endpoint gets no further prompt. */
  readonly maxUnreadTokens: number;
}

/** Whether an endpoint has room for a request. */
export const RoomState = {
  free: 'free',
  /** This process has used its share of the endpoint, whose present load it does not know. */
  unknown: 'unknown',
  /** The slots and the queue in front of them are taken. */
  slotsFull: 'slots_full',
  /** Too many prompt tokens wait for prefill. */
  prefillFull: 'prefill_full',
  /** The memory left does not hold the request. */
  memoryFull: 'memory_full',
} as const;
export type RoomState = (typeof RoomState)[keyof typeof RoomState];

/** A request's part of the room at an endpoint. */
export interface RoomHold {
  /** The endpoint has processed the prompt. */
  markPromptRead(): void;
  /** Records the requests, running and waiting, that the endpoint reported. */
  observeLoad(inFlight: number, now: number): void;
  release(): void;
}

/** Age up to which a report of an endpoint's load counts, in ms. */
const reportLifetimeMs = 1_000;

/** Weight of a new sample in the mean of the tokens that a request needs. */
const sampleWeight = 0.02;

interface EndpointUse {
  bornAt: number | undefined;
  /** Own requests, their tokens, and the prompt tokens among them that wait for prefill. */
  inFlight: number;
  tokens: number;
  unreadTokens: number;
  report: { readonly others: number; readonly at: number } | undefined;
}

/**
 * The room that endpoints have left: slots, KV memory and prefill. The use by this process is counted
 * exactly; that by others is the reported load less the own requests at the time of the report, each
 * with the mean tokens of the own requests. Without a recent report, this process relies on its share
 * of the slots.
 */
export class EndpointRooms {
  private readonly uses = new Map<string, EndpointUse>();

  private meanTokens = 0;

  private constructor(private readonly members: () => number) {}

  /** `members` returns the number of processes that send to the same endpoints. */
  static create(members: () => number): EndpointRooms {
    return new EndpointRooms(members);
  }

  /** Whether other members send to the same endpoints. */
  get areShared(): boolean {
    return this.members() > 1;
  }

  /** Whether the endpoint could run the request if it ran nothing else. */
  static fits({ cacheTokens = Infinity }: EndpointCapacity, { tokens }: RoomNeed): boolean {
    return tokens <= cacheTokens;
  }

  state(endpoint: EndpointCapacity, demand: RoomNeed, now: number): RoomState {
    const { cacheTokens = Infinity, slots } = endpoint;
    const use = this.useOf(endpoint);
    const others = EndpointRooms.others(use, now);
    const usedTokens = use.tokens + (others ?? 0) * this.meanTokens;
    if (usedTokens + demand.tokens > cacheTokens) return RoomState.memoryFull;
    const unread = use.unreadTokens + demand.promptTokens;
    if (use.unreadTokens > 0 && unread > demand.maxUnreadTokens) return RoomState.prefillFull;
    const places = slots + Math.ceil(slots * demand.queueShare);
    if (use.inFlight + (others ?? 0) >= places) return RoomState.slotsFull;
    const isKnown = others !== undefined || use.inFlight < this.share(slots);
    return isKnown ? RoomState.free : RoomState.unknown;
  }

  /** Takes room at an endpoint, whether or not it has any. */
  hold(endpoint: EndpointCapacity, { tokens, promptTokens }: RoomNeed): RoomHold {
    const use = this.useOf(endpoint);
    this.observeTokens(tokens);
    use.inFlight += 1;
    use.tokens += tokens;
    use.unreadTokens += promptTokens;
    let unread = promptTokens;
    let isReleased = false;
    const markPromptRead = () => {
      use.unreadTokens -= unread;
      unread = 0;
    };
    return {
      markPromptRead,
      observeLoad: (inFlight, now) => EndpointRooms.observe(use, inFlight, now),
      release: () => {
        if (isReleased) return;
        isReleased = true;
        markPromptRead();
        use.inFlight -= 1;
        use.tokens -= tokens;
      },
    };
  }

  /** Records the numbers of requests in flight at endpoints, over all members. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    loads.forEach(({ endpoint, inFlight }) =>
      EndpointRooms.observe(this.find(endpoint), inFlight, now),
    );
  }

  /** Removes endpoints that are not in `ids` and have no own request in flight. */
  retain(ids: ReadonlySet<string>): void {
    this.uses.forEach(({ inFlight }, id) => {
      if (inFlight === 0 && !ids.has(id)) this.uses.delete(id);
    });
  }

  /** Requests of others in flight; undefined without a recent report. */
  private static others({ report }: EndpointUse, now: number): number | undefined {
    return report !== undefined && now - report.at < reportLifetimeMs ? report.others : undefined;
  }

  private static observe(use: EndpointUse, inFlight: number, now: number): void {
    const one = use;
    one.report = { others: Math.max(0, inFlight - use.inFlight), at: now };
  }

  private observeTokens(tokens: number): void {
    if (tokens === 0) return;
    this.meanTokens += this.meanTokens === 0 ? tokens : (tokens - this.meanTokens) * sampleWeight;
  }

  /** This member's part of the slots, at least one. */
  private share(slots: number): number {
    return Math.max(1, Math.floor(slots / Math.max(1, this.members())));
  }

  private useOf({ id, bornAt }: EndpointCapacity): EndpointUse {
    const use = this.find(id);
    if (use.bornAt === undefined) use.bornAt = bornAt;
    if (use.bornAt === bornAt) return use;
    const fresh = EndpointRooms.unused(bornAt);
    this.uses.set(id, fresh);
    return fresh;
  }

  /** The announced loads do not state the start of the endpoint, which is learnt later. */
  private find(id: string): EndpointUse {
    const found = this.uses.get(id);
    if (found !== undefined) return found;
    const use = EndpointRooms.unused(undefined);
    this.uses.set(id, use);
    return use;
  }

  private static unused(bornAt: number | undefined): EndpointUse {
    return { bornAt, inFlight: 0, tokens: 0, unreadTokens: 0, report: undefined };
  }
}
