import {
  type Endpoint,
  type Failure,
  FailureKind,
  hadNoEffect,
  type ServiceCallResponse,
  type ServiceCallRequest,
} from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import { maxContentTypeChars } from './bucket';
import { maxKeptBodyBytes, type RecordedOutcome } from './claim';
import { bodyDigest, callDigest } from './digest';
import type { DispatchTicket } from './dispatch-ticket';
import { Permit } from './permit';

/** How a dispatch ended. */
export type DispatchResult =
  /** `recorded` resolves when the outcome is in the store or the claim expires; never rejects. */
  | {
      readonly kind: 'answered';
      readonly answer: ServiceCallResponse;
      readonly recorded: Promise<void>;
    }
  /** Nothing ran. The caller consumes the new permit for another attempt or releases it. */
  | { readonly kind: 'not_run'; readonly failure: Failure; readonly permit: Permit }
  | { readonly kind: 'unknown'; readonly failure: Failure; readonly recorded: Promise<void> };

const failureOf = (kind: FailureKind, message: string): Failure => ({
  kind,
  step: 'booking.dispatch',
  peer: 'endpoint',
  message,
});

/** A body that may be incomplete is not kept: a replay would present it as the whole one. */
const keepsBody = ({ body, endsWithConnection = false }: ServiceCallResponse): boolean =>
  body.length <= maxKeptBodyBytes && !endsWithConnection;

const outcomeOf = (response: ServiceCallResponse): RecordedOutcome => ({
  status: response.status,
  contentType: response.contentType.slice(0, maxContentTypeChars),
  bodyBytes: response.body.length,
  bodyDigest: bodyDigest(response.body),
  ...(keepsBody(response) && { body: Buffer.from(response.body).toString('base64') }),
});

/**
 * Calls `send`, which dispatches the booking, at most once per ticket. A failure of `send` counts
 * as not run only if its kind is `unreachable` or `refused`.
 */
export const dispatchOnce = async (
  ticket: DispatchTicket,
  send: () => Promise<Result<ServiceCallResponse, Failure>>,
): Promise<DispatchResult> => {
  const recorder = ticket.take();
  if (recorder === undefined) {
    const failure = failureOf(FailureKind.unknown, 'the ticket was used before');
    return { kind: 'unknown', failure, recorded: Promise.resolve() };
  }
  const { claim } = ticket;
  const sent = await send().catch((error: unknown) =>
    err(failureOf(FailureKind.unknown, String(error))),
  );
  if (sent.isOk()) {
    const recorded = recorder.recordDone(claim, outcomeOf(sent.value));
    return { kind: 'answered', answer: sent.value, recorded };
  }
  if (hadNoEffect(sent.error)) {
    return { kind: 'not_run', failure: sent.error, permit: Permit.create(claim, recorder) };
  }
  return { kind: 'unknown', failure: sent.error, recorded: recorder.recordUnknown(claim) };
};

/** Sends the claimed call to an endpoint. A different call is refused as not run. */
export const callEndpointOnce = (
  ticket: DispatchTicket,
  endpoint: Endpoint,
  call: ServiceCallRequest,
  signal: AbortSignal,
): Promise<DispatchResult> =>
  dispatchOnce(ticket, async () =>
    callDigest(call) === ticket.claim.bodyDigest
      ? endpoint.call(call, signal)
      : err(failureOf(FailureKind.refused, 'the call is not the one that was claimed')),
  );
