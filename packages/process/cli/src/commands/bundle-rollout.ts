import {
  encodeSignedBundle,
  type Head,
  makeDelta,
  type RolloutOutcome,
  type SignedBundle,
} from '@currantdrift/bundle';
import type { Bundle } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { Command, CommandFailure, CommandOutput } from '../command';
import { DaemonClient, daemonOptions } from '../daemon-client';
import { ExitCode } from '../exit';
import { checkBundle, readJson, readSigned } from '../files';

const describeOutcome = (outcome: RolloutOutcome): Result<CommandOutput, CommandFailure> => {
  switch (outcome.kind) {
    case 'done':
      return ok({
        lines: [`version ${outcome.version} is accepted, digest ${outcome.digest}`],
        value: outcome,
      });
    case 'conflict':
      return err({ code: ExitCode.conflict, message: outcome.message });
    case 'unknown':
      return err({
        code: ExitCode.unknown,
        message: `${outcome.message}; run the same command again to resolve it`,
      });
    default:
      return err({ code: ExitCode.failed, message: outcome.message });
  }
};

const isOutcome = (body: unknown): body is RolloutOutcome =>
  typeof body === 'object' && body !== null && 'kind' in body;

/** `bundle rollout` */
export const bundleRollout: Command = {
  name: 'bundle rollout',
  operands: ['FILE'],
  summary: 'Roll out a signed bundle',
  options: daemonOptions,
  examples: ['currantdrift bundle rollout signed.json'],
  run: async ([file], options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const signed = readSigned(file);
    if (signed.isErr()) return err(signed.error);
    const answer = await client.value.send(
      'POST',
      '/bundle/rollout',
      encodeSignedBundle(signed.value),
    );
    if (answer.isErr()) {
      // The daemon may have received the bundle before the connection failed.
      return err({ code: ExitCode.unknown, message: answer.error.message });
    }
    const { body, status } = answer.value;
    if (isOutcome(body)) return describeOutcome(body);
    const message = (body as { error?: { message?: string } })?.error?.message;
    return err({ code: ExitCode.failed, message: message ?? `status ${status}` });
  },
};

interface BundleInForce extends SignedBundle {
  readonly digest: string;
}

/** `bundle status` */
export const bundleStatus: Command = {
  name: 'bundle status',
  operands: [],
  summary: 'Show the bundle in force at a daemon',
  options: daemonOptions,
  examples: ['currantdrift bundle status', 'currantdrift bundle status --json'],
  run: async (_operands, options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const held = await client.value.get('/bundle');
    return held.map((value) => {
      const { bundle, digest, proposal, signOff } = value as BundleInForce;
      return {
        lines: [
          `version ${bundle.version}, digest ${digest}`,
          `proposed by ${proposal.operator}, signed off by ${signOff.operator}`,
        ],
        value: {
          version: bundle.version,
          digest,
          proposer: proposal.operator,
          signOff: signOff.operator,
        },
      };
    });
  },
};

/** `bundle history` */
export const bundleHistory: Command = {
  name: 'bundle history',
  operands: [],
  summary: 'List accepted versions, newest first',
  options: daemonOptions,
  examples: ['currantdrift bundle history'],
  run: async (_operands, options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const history = await client.value.get('/bundle/history');
    return history.map((value) => {
      const { versions } = value as { versions: readonly Head[] };
      const lines = versions.map(
        ({ version, at, operator, digest }) =>
          `${version}  ${new Date(at).toISOString()}  ${operator}  ${digest}`,
      );
      return { lines: lines.length > 0 ? lines : ['no version was rolled out'], value };
    });
  },
};

const changedLines = (before: Bundle, after: Bundle): string[] => {
  const delta = makeDelta(before, {
    bundle: after,
    proposal: { operator: 'none', keyId: '', value: '' },
    signOff: { operator: 'none', keyId: '', value: '' },
  }) as unknown as Record<
    string,
    { set?: readonly { name: string }[]; removed?: readonly string[] }
  >;
  return ['domains', 'callers', 'models', 'adapters', 'services'].flatMap((list) => [
    ...(delta[list]?.set ?? []).map(({ name }) => `${list}: ${name} added or changed`),
    ...(delta[list]?.removed ?? []).map((name) => `${list}: ${name} removed`),
  ]);
};

/** `bundle diff` */
export const bundleDiff: Command = {
  name: 'bundle diff',
  operands: ['FILE'],
  summary: 'Show what a bundle changes against the one in force',
  options: daemonOptions,
  examples: ['currantdrift bundle diff v8.json'],
  run: async ([file], options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const held = await client.value.get('/bundle');
    return held.andThen((value) => {
      const { bundle } = value as BundleInForce;
      return readJson(file)
        .andThen((document) => checkBundle(document, file, bundle))
        .map((after) => {
          const lines = changedLines(bundle, after);
          const heading = `version ${bundle.version} to ${after.version}`;
          return {
            lines: [heading, ...(lines.length > 0 ? lines : ['no change'])],
            value: { from: bundle.version, to: after.version, changes: lines },
          };
        });
    });
  },
};
