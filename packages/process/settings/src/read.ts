import { readFileSync } from 'node:fs';
import { err, ok, Result } from 'neverthrow';
import { listMistakes, type Mistake } from './mistake';
import { type Settings, settingsSchema } from './settings';

/** Why a settings file cannot be used. */
export type SettingsFailure =
  | { readonly kind: 'unreadable'; readonly file: string; readonly message: string }
  | { readonly kind: 'not_json'; readonly file: string; readonly message: string }
  | { readonly kind: 'mistakes'; readonly file: string; readonly mistakes: readonly Mistake[] };

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Checks a parsed document; reports every mistake at once. */
export const checkSettings = (document: unknown): Result<Settings, readonly Mistake[]> => {
  const parsed = settingsSchema.safeParse(document);
  return parsed.success ? ok(parsed.data) : err(listMistakes(parsed.error, document));
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
      checkSettings(document).mapErr((mistakes) => ({ kind: 'mistakes', file, mistakes }) as const),
    );
};
