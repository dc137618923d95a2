import { type Clock, type Peers, type WakeRefusal, type Waker } from '@currantdrift/core';
import {
  touchNoticeSchema,
  wakeRequest,
  wakeRequestSchema,
  wakeResponse,
  parseWakeResponse,
} from '@currantdrift/placement';
import { err, type Result } from 'neverthrow';

/** Kinds of messages to the domain controller. */
const WakeMessage = { wake: 'placement.wake', touch: 'placement.touch' } as const;

export interface WakeClientOptions {
  readonly peers: Peers;
  readonly clock: Clock;
  /** Controller of the own domain: itself, the peer address of another daemon, or unknown. */
  readonly controller: () => Waker | string | undefined;
  /** Called when an endpoint holds an item that was asked for. */
  readonly onReady: (item: string, endpoint: string) => void;
}

/** A wake-up that this daemon waits for. */
interface Pending {
  readonly deadline: number;
  readonly result: Promise<Result<string, WakeRefusal>>;
}

/** Time between two looks for a controller while there is none, in ms. */
const controllerPollMs = 200;

/** Time after which a caller may try again when the domain had no controller, in ms. */
const noControllerRetryMs = 3_000;

/** Time between two messages that name the items in use, in ms. */
const touchPeriodMs = 1_000;

const refusal = (
  kind: WakeRefusal['kind'],
  message: string,
  retryAfterMs: number,
): WakeRefusal => ({
  kind,
  message,
  retryAfterMs,
});

/** The domain controller as this daemon reaches it, in this process or at a peer. */
export class WakeClient implements Waker {
  private readonly pending = new Map<string, Pending>();

  /** Items asked for since the last message to the controller. */
  private touched = new Set<string>();

  private constructor(private readonly options: WakeClientOptions) {}

  static create(options: WakeClientOptions): WakeClient {
    return new WakeClient(options);
  }

  async wake(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const pending = this.pending.get(item);
    // What satisfies an earlier deadline satisfies this one; a refusal of it may not hold here.
    if (pending !== undefined && pending.deadline <= deadline) {
      const joined = await pending.result;
      if (joined.isOk() || pending.deadline === deadline) return joined;
    }
    const result = this.ask(item, deadline);
    const own = { deadline, result };
    this.pending.set(item, own);
    const answer = await result;
    if (answer.isOk()) this.options.onReady(item, answer.value);
    if (this.pending.get(item) === own) this.pending.delete(item);
    return answer;
  }

  touch(item: string): void {
    this.touched.add(item);
  }

  /** Sends the items in use to the controller, in one message a period. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(touchPeriodMs, signal);
      this.flush();
    }
  }

  private flush(): void {
    const controller = this.options.controller();
    if (controller === undefined || this.touched.size === 0) return;
    const items = [...this.touched];
    this.touched = new Set();
    if (typeof controller === 'string') {
      this.options.peers.notify(controller, { kind: WakeMessage.touch, items });
      return;
    }
    const now = this.options.clock.now();
    items.forEach((item) => controller.touch(item, now));
  }

  private async ask(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const { clock } = this.options;
    for (;;) {
      const left = deadline - clock.now();
      if (left <= 0) return err(refusal('too_late', 'the deadline has passed', 0));
      const answer = await this.askOnce(this.options.controller(), item, deadline);
      if (answer !== undefined) return answer;
      if (clock.now() + controllerPollMs >= deadline) {
        const message = 'the domain has no controller now';
        return err(refusal('no_controller', message, noControllerRetryMs));
      }
      await clock.sleep(controllerPollMs);
    }
  }

  /** Asks a controller; undefined if there is none, or it has just handed the domain over. */
  private async askOnce(
    controller: Waker | string | undefined,
    item: string,
    deadline: number,
  ): Promise<Result<string, WakeRefusal> | undefined> {
    if (controller === undefined) return undefined;
    if (typeof controller === 'string') {
      return this.request(controller, item, deadline - this.options.clock.now());
    }
    const result = await controller.wake(item, deadline);
    return result.isErr() && result.error.kind === 'no_controller' ? undefined : result;
  }

  /** Asks a peer; undefined if it did not answer or is not the controller. */
  private async request(
    address: string,
    item: string,
    left: number,
  ): Promise<Result<string, WakeRefusal> | undefined> {
    const { clock, peers } = this.options;
    const message = wakeRequest(item, clock.now() + left, clock.now());
    const reply = await peers.request(address, message, left);
    if (reply.isErr()) return undefined;
    const result = parseWakeResponse(reply.value);
    return result.isErr() && result.error.kind === 'no_controller' ? undefined : result;
  }
}

/** Answers wake-ups and touches of peers with the controller of this process, if it is one. */
export const serveWakes = (
  peers: Peers,
  clock: Clock,
  controller: () => Waker | undefined,
): void => {
  peers.onRequest(WakeMessage.wake, async (message) => {
    const parsed = wakeRequestSchema.safeParse(message);
    if (!parsed.success) {
      return wakeResponse(err(refusal('failed', 'the wake-up request is malformed', 0)));
    }
    const own = controller();
    const { item, withinMs } = parsed.data;
    return wakeResponse(
      own === undefined
        ? err(refusal('no_controller', 'this daemon is not the controller', 0))
        : await own.wake(item, clock.now() + withinMs),
    );
  });
  peers.onRequest(WakeMessage.touch, (message) => {
    const parsed = touchNoticeSchema.safeParse(message);
    const own = controller();
    if (parsed.success) parsed.data.items.forEach((item) => own?.touch(item, clock.now()));
    return { kind: WakeMessage.touch };
  });
};
