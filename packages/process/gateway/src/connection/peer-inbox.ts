import type { Message, Peers, Telemetry } from '@currantdrift/core';
import { z } from 'zod';

/** Validates messages from peers before they are dispatched; logs those that are malformed. */
export class PeerInbox {
  private constructor(
    private readonly peers: Peers,
    private readonly telemetry: Telemetry,
  ) {}

  static create(peers: Peers, telemetry: Telemetry): PeerInbox {
    return new PeerInbox(peers, telemetry);
  }

  /** Registers a handler for a kind of message whose response carries no data. */
  onNotification<T>(
    kind: string,
    schema: z.ZodType<T>,
    handle: (parsed: T, from: string) => void,
  ): void {
    this.peers.onRequest(kind, (message, from) => {
      const parsed = this.parse(schema, message, from);
      if (parsed !== undefined) handle(parsed, from);
      return { kind: 'ok' };
    });
  }

  /**
   * Registers a handler for a kind of request. Responds with `elsewhere` if the request is malformed or
   * the handler returns undefined.
   */
  onRequest<T>(
    kind: string,
    schema: z.ZodType<T>,
    respond: (parsed: T, from: string) => Message | undefined | Promise<Message | undefined>,
  ): void {
    const orElsewhere = (response: Message | undefined) => response ?? { kind: 'elsewhere' };
    this.peers.onRequest(kind, (message, from) => {
      const parsed = this.parse(schema, message, from);
      const response = parsed && respond(parsed, from);
      return response instanceof Promise ? response.then(orElsewhere) : orElsewhere(response);
    });
  }

  private parse<T>(schema: z.ZodType<T>, message: Message, from: string): T | undefined {
    const parsed = schema.safeParse(message);
    if (parsed.success) return parsed.data;
    const reason = z.prettifyError(parsed.error);
    this.telemetry.log('peer.malformed', { kind: message.kind, from, reason });
    return undefined;
  }
}
