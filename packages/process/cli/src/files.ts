import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import {
  formatValidationIssue,
  parseBundle,
  type ProposedBundle,
  type SignedBundle,
  signatureSchema,
} from '@currantdrift/bundle';
import type { Bundle } from '@currantdrift/core';
import { err, Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandFailure } from './command';
import { ExitCode } from './exit';

const failed = (message: string): CommandFailure => ({ code: ExitCode.failed, message });

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

export const readText = Result.fromThrowable(
  (file: string) => readFileSync(file, 'utf8'),
  (error) => failed(messageOf(error)),
);

/**
 * Writes a new file with the permission bits `mode`, and creates its folder if needed. Fails if the
 * file exists.
 */
export const writeNewFile = Result.fromThrowable(
  (file: string, text: string, mode: number) => {
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, text, { mode, flag: 'wx' });
  },
  (error) => failed(messageOf(error)),
);

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error) => failed(messageOf(error)),
);

/** Reads a JSON file. */
export const readJson = (file: string): Result<unknown, CommandFailure> =>
  readText(file)
    .andThen(parseJson)
    .mapErr(({ code, message }) => ({ code, message: `${file}: ${message}` }));

/** Validates a bundle; the failure lists all validation issues. */
export const checkBundle = (
  document: unknown,
  file: string,
  previous?: Bundle,
): Result<Bundle, CommandFailure> =>
  parseBundle(document, previous).mapErr((mistakes) =>
    failed([`${file} has mistakes:`, ...mistakes.map(formatValidationIssue)].join('\n  ')),
  );

const proposedSchema = z.strictObject({ bundle: z.unknown(), proposal: signatureSchema });
const signedSchema = proposedSchema.extend({ signOff: signatureSchema });

/** Reads a file written by `bundle propose`. */
export const readProposed = (file: string): Result<ProposedBundle, CommandFailure> =>
  readJson(file).andThen((document) => {
    const parsed = proposedSchema.safeParse(document);
    if (!parsed.success) return err(failed(`${file} is not a proposed bundle`));
    const { bundle, proposal } = parsed.data;
    return checkBundle(bundle, file).map((checked) => ({ bundle: checked, proposal }));
  });

/** Reads a file written by `bundle sign`. */
export const readSigned = (file: string): Result<SignedBundle, CommandFailure> =>
  readJson(file).andThen((document) => {
    const parsed = signedSchema.safeParse(document);
    if (!parsed.success) return err(failed(`${file} is not a signed bundle`));
    const { bundle, proposal, signOff } = parsed.data;
    return checkBundle(bundle, file).map((checked) => ({ bundle: checked, proposal, signOff }));
  });
