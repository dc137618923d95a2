import { type Clock, type Peers, type WakeRefusal, type Waker } from '@currantdrift/core';
import {
  touchNoticeSchema,
  wakeRequest,
  wakeRequestSchema,
  wakeResponse,
  parseWakeResponse,
} from '@currantdrift/placement';
import { err, type Result } from 'neverthrow';

/** Kinds of peer messages to the domain controller. */
const WakeMessage = { wake: 'placement.wake', touch: 'placement.touch' } as const;

export interface WakeClientOptions {
  readonly peers: Peers;
  readonly clock: Clock;
  /**
   * Controller of this domain: an object in this process, a peer's address, or undefined if
   * unknown.
   */
  readonly controller: () => Waker | string | undefined;
  /** Called when a requested item is ready at an endpoint. */
  readonly onReady: (item: string, endpoint: string) => void;
}

/** A wake-up in progress. */
interface PendingWake {
  readonly deadline: number;
  readonly result: Promise<Result<string, WakeRefusal>>;
}

/** Interval between attempts to find a controller while there is none, in ms. */
const controllerPollMs = 200;

/** Retry delay for callers if the domain has no controller, in ms. */
const noControllerRetryMs = 3_000;

/** Interval between messages that list the items in use, in ms. */
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

/** Sends wake-ups and usage notices to the domain controller, in this process or at a peer. */
export class WakeClient implements Waker {
  private readonly pending = new Map<string, PendingWake>();

  /** Items requested since the last usage notice. */
  private touched = new Set<string>();

  private constructor(private readonly options: WakeClientOptions) {}

  static create(options: WakeClientOptions): WakeClient {
    return new WakeClient(options);
  }

  async wake(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const pending = this.pending.get(item);
    // A success in time for an earlier deadline is also in time for this one. A refusal may be due
    // to the earlier deadline, so it is shared only if the deadlines are equal.
    if (pending !== undefined && pending.deadline <= deadline) {
      const joined = await pending.result;
      if (joined.isOk() || pending.deadline === deadline) return joined;
    }
    const result = this.requestWake(item, deadline);
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

  /** Sends the items in use to the controller, in one message per period. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(touchPeriodMs, signal);
      this.sendTouched();
    }
  }

  private sendTouched(): void {
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

  private async requestWake(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const { clock } = this.options;
    for (;;) {
      const left = deadline - clock.now();
      if (left <= 0) return err(refusal('too_late', 'the deadline has passed', 0));
      const answer = await this.tryWake(this.options.controller(), item, deadline);
      if (answer !== undefined) return answer;
      if (clock.now() + controllerPollMs >= deadline) {
        const message = 'the domain has no controller now';
        return err(refusal('no_controller', message, noControllerRetryMs));
      }
      await clock.sleep(controllerPollMs);
    }
  }

  /** Asks the controller; undefined if there is none or it no longer holds the domain's lease. */
  private async tryWake(
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

  /** Asks a peer; undefined if it does not answer or is not the controller. */
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

/** Handles wake-ups and usage notices from peers with this process's controller, if it has one. */
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
