import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { err, ok, Result } from 'neverthrow';
import { listMistakes, type ValidationIssue } from './mistake';
import { type Settings, settingsSchema } from './settings';

/** Why a settings file cannot be used. */
export type SettingsFailure =
  | { readonly kind: 'unreadable'; readonly file: string; readonly message: string }
  | { readonly kind: 'not_json'; readonly file: string; readonly message: string }
  | {
      readonly kind: 'mistakes';
      readonly file: string;
      readonly mistakes: readonly ValidationIssue[];
    };

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Checks a parsed document; reports every mistake at once. */
export const checkSettings = (document: unknown): Result<Settings, readonly ValidationIssue[]> => {
  const parsed = settingsSchema.safeParse(document);
  return parsed.success ? ok(parsed.data) : err(listMistakes(parsed.error, document));
};

/**
 * Replaces trusted keys that name a file by the file's text. Files that cannot be read are left as
 * they are, so that the schema reports them with their path in the document.
 */
const withKeyFiles = (document: unknown, folder: string): unknown => {
  const { trustedKeys } = (document ?? {}) as { trustedKeys?: unknown };
  if (typeof trustedKeys !== 'object' || trustedKeys === null) return document;
  const readKey = Result.fromThrowable((name: string) =>
    readFileSync(resolve(folder, name), 'utf8'),
  );
  const read = Object.entries(trustedKeys).map(([operator, key]) => [
    operator,
    typeof key === 'string' && key.endsWith('.pem') ? readKey(key).unwrapOr(key) : key,
  ]);
  return { ...(document as object), trustedKeys: Object.fromEntries(read) };
};

/** Reads and checks a settings file. */
export const readSettings = (file: string): Result<Settings, SettingsFailure> => {
  const read = Result.fromThrowable(
    () => readFileSync(file, 'utf8'),
    (error): SettingsFailure => ({ kind: 'unreadable', file, message: messageOf(error) }),
  );
  const parse = Result.fromThrowable(
    (text: string): unknown => JSON.parse(text),
    (error): SettingsFailure => ({ kind: 'not_json', file, message: messageOf(error) }),
  );
  return read()
    .andThen(parse)
    .andThen((document) =>
      checkSettings(withKeyFiles(document, dirname(file))).mapErr(
        (mistakes) => ({ kind: 'mistakes', file, mistakes }) as const,
      ),
    );
};
