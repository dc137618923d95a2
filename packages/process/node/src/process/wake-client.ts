import {
  type Clock,
  FailureKind,
  type Message,
  type Peers,
  type WakeRefusal,
  type Waker,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';

/** Kinds of messages to the domain controller. */
export const WakeMessage = {
  wake: 'placement.wake',
  touch: 'placement.touch',
} as const;

export interface WakeClientOptions {
  readonly peers: Peers;
  readonly clock: Clock;
  /** Controller of the own domain: itself, the peer address of another daemon, or unknown. */
  readonly controller: () => Waker | string | undefined;
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

  /** Number of requests by item since the last message to the controller. */
  private touched = new Map<string, number>();

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
    if (this.pending.get(item) === own) this.pending.delete(item);
    return answer;
  }

  touch(item: string): void {
    this.touched.set(item, (this.touched.get(item) ?? 0) + 1);
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
    this.touched = new Map();
    if (typeof controller === 'string') {
      this.options.peers.notify(controller, { kind: WakeMessage.touch, items });
      return;
    }
    const now = this.options.clock.now();
    items.forEach(([item, count]) => {
      for (let index = 0; index < count; index += 1) controller.touch(item, now);
    });
  }

  private async ask(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const { clock } = this.options;
    for (;;) {
      const left = deadline - clock.now();
      if (left <= 0) return err(refusal('too_late', 'the deadline has passed', 0));
      const controller = this.options.controller();
      if (controller !== undefined && typeof controller !== 'string') {
        return controller.wake(item, deadline);
      }
      const answer =
        controller === undefined ? undefined : await this.request(controller, item, left);
      if (answer !== undefined) return answer;
      if (clock.now() + controllerPollMs >= deadline) {
        const message = 'the domain has no controller now';
        return err(refusal('no_controller', message, noControllerRetryMs));
      }
      await clock.sleep(controllerPollMs);
    }
  }

  /** Asks a peer; undefined if it did not answer or is not the controller. */
  private async request(
    address: string,
    item: string,
    left: number,
  ): Promise<Result<string, WakeRefusal> | undefined> {
    const message: Message = { kind: WakeMessage.wake, item, deadlineMs: left };
    const reply = await this.options.peers.request(address, message, left);
    if (reply.isErr()) {
      const { kind, retryAfterMs } = reply.error;
      if (kind === FailureKind.refused) {
        return err(refusal('failed', reply.error.message, retryAfterMs ?? noControllerRetryMs));
      }
      return undefined;
    }
    const { endpoint, refused } = reply.value as { endpoint?: string; refused?: WakeRefusal };
    if (endpoint !== undefined) return ok(endpoint);
    return refused === undefined || refused.kind === 'no_controller' ? undefined : err(refused);
  }
}

/** Answers wake-ups and touches of peers with the controller of this process, if it is one. */
export const serveWakes = (
  peers: Peers,
  clock: Clock,
  controller: () => Waker | undefined,
): void => {
  peers.onRequest(WakeMessage.wake, async (message) => {
    const { item, deadlineMs } = message as unknown as { item: string; deadlineMs: number };
    const own = controller();
    const answer =
      own === undefined
        ? err(refusal('no_controller', 'this daemon is not the controller', 0))
        : await own.wake(item, clock.now() + deadlineMs);
    return answer.match(
      (endpoint): Message => ({ kind: WakeMessage.wake, endpoint }),
      (refused): Message => ({ kind: WakeMessage.wake, refused }),
    );
  });
  peers.onRequest(WakeMessage.touch, (message) => {
    const { items } = message as unknown as { items: readonly [string, number][] };
    const own = controller();
    const now = clock.now();
    items.forEach(([item, count]) => {
      for (let index = 0; index < count; index += 1) own?.touch(item, now);
    });
    return { kind: WakeMessage.touch };
  });
};
