import type { Message, Peers, Telemetry } from '@currantdrift/core';
import { z } from 'zod';

/** Checks the messages of peers before a part of this process takes them. Malformed ones are logged. */
export class PeerInbox {
  private constructor(
    private readonly peers: Peers,
    private readonly telemetry: Telemetry,
  ) {}

  static create(peers: Peers, telemetry: Telemetry): PeerInbox {
    return new PeerInbox(peers, telemetry);
  }

  /** Hands on messages of a kind that need no answer. */
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

  /** Answers messages of a kind; the answer to a malformed one, and to one without an answer, is `elsewhere`. */
  onRequest<T>(
    kind: string,
    schema: z.ZodType<T>,
    respond: (parsed: T) => Message | undefined,
  ): void {
    this.peers.onRequest(kind, (message, from) => {
      const parsed = this.parse(schema, message, from);
      return (parsed && respond(parsed)) ?? { kind: 'elsewhere' };
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
