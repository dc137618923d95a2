import type { Peers, WakeRefusal } from '@currantdrift/core';
import type { ModelWaker, ModelLoadRequest } from '@currantdrift/forward';
import { err, ok, type Result } from 'neverthrow';
import {
  parseMessage,
  PeerMessageKind,
  type LoadRequestResponse,
  loadRequestResponseSchema,
} from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { Controller } from './controller';

/** Time for the controller's answer, in ms. */
const answerTimeoutMs = 600;

const noController = (message: string): WakeRefusal => ({
  kind: 'no_controller',
  message,
  retryAfterMs: 1_000,
});

/** Asks the controller, here or at another process, for models that no engine holds. */
export class ControllerModelWaker implements ModelWaker {
  private constructor(
    private readonly peers: Peers,
    private readonly members: Members,
    private readonly self: Member,
    private readonly localController: () => Controller | undefined,
  ) {}

  /** `local` is the controller of this process while it has one. */
  static create(
    peers: Peers,
    members: Members,
    self: Member,
    local: () => Controller | undefined,
  ): ControllerModelWaker {
    return new ControllerModelWaker(peers, members, self, local);
  }

  async wake(want: ModelLoadRequest): Promise<Result<number, WakeRefusal>> {
    const answer = await this.requestFromController(want);
    if (answer.isErr()) return err(answer.error);
    const { value } = answer;
    if (value.kind === 'expected') return ok(value.readyInMs);
    if (value.kind === 'elsewhere') return err(noController('the controller has changed'));
    const { reason, retryAfterMs } = value;
    return err({ kind: 'too_late', message: reason, retryAfterMs });
  }

  private async requestFromController(
    want: ModelLoadRequest,
  ): Promise<Result<LoadRequestResponse, WakeRefusal>> {
    const local = this.localController();
    if (local !== undefined) return ok(local.want(want));
    const { controller } = this.members;
    if (controller === undefined || controller.host === this.self.host) {
      return err(noController('no process is the controller'));
    }
    const message = { kind: PeerMessageKind.want, ...want };
    const answer = await this.peers.request(controller.address, message, answerTimeoutMs);
    if (answer.isErr()) return err(noController(answer.error.message));
    const parsed = parseMessage(loadRequestResponseSchema, answer.value);
    return parsed === undefined ? err(noController('the answer is malformed')) : ok(parsed);
  }
}
