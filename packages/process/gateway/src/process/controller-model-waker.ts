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

/** Timeout for the controller's response, in ms. */
const responseTimeoutMs = 600;

const noController = (message: string): WakeRefusal => ({
  kind: 'no_controller',
  message,
  retryAfterMs: 1_000,
});

/** Requests models that no engine holds from the controller, in this process or at a peer. */
export class ControllerModelWaker implements ModelWaker {
  private constructor(
    private readonly peers: Peers,
    private readonly members: Members,
    private readonly self: Member,
    private readonly localController: () => Controller | undefined,
  ) {}

  /** `localController` returns the controller in this process, or undefined if it runs elsewhere. */
  static create(
    peers: Peers,
    members: Members,
    self: Member,
    local: () => Controller | undefined,
  ): ControllerModelWaker {
    return new ControllerModelWaker(peers, members, self, local);
  }

  async wake(want: ModelLoadRequest): Promise<Result<number, WakeRefusal>> {
    const response = await this.requestFromController(want);
    if (response.isErr()) return err(response.error);
    const { value } = response;
    if (value.kind === 'expected') return ok(value.readyInMs);
    if (value.kind === 'elsewhere')
      return err(noController('the peer is no longer the controller'));
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
      return err(noController('there is currently no controller'));
    }
    const message = { kind: PeerMessageKind.want, ...want };
    const response = await this.peers.request(controller.address, message, responseTimeoutMs);
    if (response.isErr()) return err(noController(response.error.message));
    const parsed = parseMessage(loadRequestResponseSchema, response.value);
    return parsed === undefined
      ? err(noController('the controller sent a malformed response'))
      : ok(parsed);
  }
}
