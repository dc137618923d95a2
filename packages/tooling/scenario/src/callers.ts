import type { Clock } from '@currantdrift/core';
import { trueToken } from '@currantdrift/fakes';
import { apiKeyOf } from './deployment';
import type { Daemon } from './daemon';
import type { History, RequestOutcome, RequestRecord } from './history';

export interface ChatCall {
  readonly model: string;
  readonly caller: string;
  readonly deadlineMs: number;
  readonly tokens: number;
  /** Contents of the messages before the last one. */
  readonly parts: readonly string[];
  /** Content of the last message; undefined for one that no other request has. */
  readonly question: string | undefined;
}

export interface BookingCall {
  readonly service: string;
  readonly key: string;
  readonly body: string;
  readonly caller: string;
  readonly deadlineMs: number;
}

/** Callers outside the system; they note what they get. */
export class Callers {
  private constructor(
    private readonly clock: Clock,
    private readonly history: History,
  ) {}

  static create(clock: Clock, history: History): Callers {
    return new Callers(clock, history);
  }

  async chat(daemon: Daemon, chat: ChatCall): Promise<void> {
    const { model, caller, deadlineMs, tokens, parts, question } = chat;
    const truth = (id: string) =>
      Array.from({ length: tokens }, (_, offset) =>
        trueToken([...parts, question ?? id].join(' '), offset),
      ).join('');
    const record = this.begin(daemon, model, deadlineMs, truth, parts, question);
    const { node, process } = daemon;
    await this.untilDeath(daemon, record, async () => {
      await process.gate(async () => {});
      const known = node.entry.authenticate(apiKeyOf(caller));
      if (known === undefined) {
        this.end(record, 'not_run', 'the API key is not known');
        return;
      }
      const request = {
        requestId: record.id,
        caller: known,
        item: model,
        messages: [...parts, question ?? record.id].map((content) => ({
          role: 'user' as const,
          content,
        })),
        maxTokens: tokens,
        priority: 5,
        deadline: record.deadline,
      };
      for await (const part of node.entry.chat(request, process.dead)) {
        if (part.isErr()) this.end(record, part.error.outcome, part.error.message);
        else if (part.value.kind === 'tokens') record.received += part.value.tokens.join('');
        else this.end(record, 'answered', '');
      }
      this.end(record, 'closed', 'the answer ended without an end marker');
    });
  }

  async book(daemon: Daemon, booking: BookingCall): Promise<void> {
    const record = this.begin(daemon, booking.service, booking.deadlineMs, () => booking.body);
    const { node, process } = daemon;
    await this.untilDeath(daemon, record, async () => {
      await process.gate(async () => {});
      const known = node.entry.authenticate(apiKeyOf(booking.caller));
      if (known === undefined) {
        this.end(record, 'not_run', 'the API key is not known');
        return;
      }
      const answer = await node.entry.call(
        {
          requestId: record.id,
          caller: known,
          service: booking.service,
          call: 'book',
          method: 'POST',
          query: '',
          contentType: 'application/json',
          body: Buffer.from(booking.body),
          idempotencyKey: booking.key,
          priority: 5,
          deadline: record.deadline,
        },
        process.dead,
      );
      answer.match(
        ({ body }) => {
          record.received = Buffer.from(body).toString();
          this.end(record, 'answered', '');
        },
        ({ outcome, message }) => this.end(record, outcome, message),
      );
    });
  }

  private begin(
    { name }: Daemon,
    item: string,
    deadlineMs: number,
    truth: (id: string) => string,
    parts: readonly string[] = [],
    question: string | undefined = undefined,
  ): RequestRecord {
    const now = this.clock.now();
    const id = `r${this.history.requests.length + 1}`;
    const record: RequestRecord = {
      id,
      daemon: name,
      item,
      startedAt: now,
      deadline: now + deadlineMs,
      truth: truth(id),
      parts,
      question,
      received: '',
      outcome: undefined,
      message: '',
      endedAt: undefined,
    };
    this.history.requests.push(record);
    return record;
  }

  /** The caller's connection closes when the daemon's process ends. */
  private async untilDeath(
    { process }: Daemon,
    record: RequestRecord,
    run: () => Promise<void>,
  ): Promise<void> {
    const died = new Promise<void>((resolve) => {
      if (process.isDead) resolve();
      process.dead.addEventListener('abort', () => resolve(), { once: true });
    }).then(() => this.end(record, 'closed', 'the daemon died'));
    await Promise.race([run(), died]);
  }

  private end(request: RequestRecord, outcome: RequestOutcome, message: string): void {
    const record = request;
    if (record.outcome !== undefined) return;
    record.outcome = outcome;
    record.message = message;
    record.endedAt = this.clock.now();
    const { id, daemon, item } = record;
    this.history.note(
      record.endedAt,
      `${id} of ${item} at ${daemon}: ${outcome} ${message}`.trim(),
    );
  }
}
