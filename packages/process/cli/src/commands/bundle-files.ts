import {
  bundleDigest,
  proposeBundle,
  readPrivateKey,
  signOffBundle,
  TrustedKeys,
} from '@currantdrift/bundle';
import type { Bundle } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { KeyObject } from 'node:crypto';
import type { Command, CommandFailure, CommandOption } from '../command';
import { DaemonClient, daemonOptions } from '../daemon-client';
import { ExitCode } from '../exit';
import { checkBundle, readJson, readProposed, readText, writeNewFile } from '../files';

const bundleFileMode = 0o644;

const signingOptions: Readonly<Record<string, CommandOption>> = {
  as: {
    type: 'string',
    value: 'OPERATOR',
    help: "your name in the daemons' trusted keys",
    required: true,
  },
  key: { type: 'string', value: 'FILE', help: 'your private key', required: true },
  out: { type: 'string', value: 'FILE', help: 'file to write', required: true },
};

const readKey = (file: string): Result<KeyObject, CommandFailure> =>
  readText(file).andThen((pem) =>
    readPrivateKey(pem).mapErr(({ message }) => ({
      code: ExitCode.failed,
      message: `${file}: ${message}`,
    })),
  );

const readPrevious = (file: string | undefined): Result<Bundle | undefined, CommandFailure> =>
  file === undefined
    ? ok(undefined)
    : readJson(file).andThen((document) => checkBundle(document, file));

/** `bundle check` */
export const bundleCheck: Command = {
  name: 'bundle check',
  operands: ['FILE'],
  summary: 'Check a bundle and list every mistake',
  options: {
    previous: { type: 'string', value: 'FILE', help: 'the bundle that this one replaces' },
  },
  examples: [
    'currantdrift bundle check bundle.json',
    'currantdrift bundle check v8.json --previous v7.json',
  ],
  run: async ([file], options) =>
    readPrevious(options.previous as string | undefined).andThen((previous) =>
      readJson(file)
        .andThen((document) => checkBundle(document, file, previous))
        .map((bundle) => {
          const { version, models, adapters, callers, services } = bundle;
          const digest = bundleDigest(bundle);
          const counts = `${models.length} models, ${adapters.length} adapters, ${callers.length} callers, ${services.length} services`;
          return {
            lines: [`${file}: version ${version}, ${counts}`, `digest ${digest}`],
            value: { version, digest },
          };
        }),
    ),
};

/** `bundle propose` */
export const bundlePropose: Command = {
  name: 'bundle propose',
  operands: ['FILE'],
  summary: 'Check a bundle and sign it as its proposer',
  options: signingOptions,
  examples: [
    'currantdrift bundle propose bundle.json --as nino --key keys/nino.key --out proposed.json',
  ],
  run: async ([file], options) =>
    readJson(file)
      .andThen((document) => checkBundle(document, file))
      .andThen((bundle) =>
        readKey(options.key as string).andThen((key) => {
          const proposed = proposeBundle(bundle, options.as as string, key);
          return writeNewFile(options.out as string, JSON.stringify(proposed), bundleFileMode);
        }),
      )
      .map(() => ({
        lines: [`wrote ${options.out}; another operator signs it with: currantdrift bundle sign`],
        value: { file: options.out },
      })),
};

const parseTrustedKeys = (document: unknown): Result<TrustedKeys, CommandFailure> =>
  TrustedKeys.create(document as Record<string, string>).mapErr(() => ({
    code: ExitCode.failed,
    message: "the daemon's trusted keys cannot be read",
  }));

/** `bundle sign` */
export const bundleSign: Command = {
  name: 'bundle sign',
  operands: ['FILE'],
  summary: 'Sign a proposed bundle off as a second operator',
  options: { ...signingOptions, ...daemonOptions },
  examples: [
    'currantdrift bundle sign proposed.json --as dato --key keys/dato.key --out signed.json',
  ],
  run: async ([file], options) => {
    const client = DaemonClient.create(options);
    if (client.isErr()) return err(client.error);
    const keys = await client.value.get('/trusted-keys');
    return keys.andThen(parseTrustedKeys).andThen((trusted) =>
      readProposed(file).andThen((proposed) =>
        readKey(options.key as string).andThen((key) =>
          signOffBundle(proposed, options.as as string, key, trusted)
            .mapErr(({ message }): CommandFailure => ({ code: ExitCode.failed, message }))
            .andThen((signed) =>
              writeNewFile(options.out as string, JSON.stringify(signed), bundleFileMode),
            )
            .map(() => ({
              lines: [`wrote ${options.out}; roll it out with: currantdrift bundle rollout`],
              value: { file: options.out },
            })),
        ),
      ),
    );
  },
};
