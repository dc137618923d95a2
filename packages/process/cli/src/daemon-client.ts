import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { request } from 'undici';
import type { CommandFailure, CommandOption, OptionValues } from './command';
import { ExitCode } from './exit';

/** Codes of errors that occur before a byte of a request is sent. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const isNotSent = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && connectErrorCodes.has(error.code);

/** Options of the commands that send requests to a daemon. */
export const daemonOptions: Readonly<Record<string, CommandOption>> = {
  url: {
    type: 'string',
    value: 'URL',
    help: "a daemon's operators' address; default CURRANTDRIFT_URL",
  },
  token: {
    type: 'string',
    value: 'TOKEN',
    help: "operator token; default CURRANTDRIFT_TOKEN, which keeps it out of the shell's history",
  },
};

/** Response from a daemon. */
export interface DaemonResponse {
  readonly status: number;
  readonly body: unknown;
}

const timeoutMs = 30_000;

const usageFailure = (message: string): CommandFailure => ({ code: ExitCode.usage, message });

const errorMessageOf = ({ status, body }: DaemonResponse): string => {
  const message = (body as { error?: { message?: string } } | undefined)?.error?.message;
  return message ?? `the daemon answered with status ${status}`;
};

/** HTTP client for a daemon's operator API. */
export class DaemonClient {
  private constructor(
    private readonly url: string,
    private readonly token: string,
  ) {}

  /** Takes the URL and token from the command options, or else from the environment. */
  static create(options: OptionValues): Result<DaemonClient, CommandFailure> {
    const url = options.url ?? process.env.CURRANTDRIFT_URL;
    const token = options.token ?? process.env.CURRANTDRIFT_TOKEN;
    if (typeof url !== 'string') return err(usageFailure('give --url or set CURRANTDRIFT_URL'));
    if (typeof token !== 'string')
      return err(usageFailure('give --token or set CURRANTDRIFT_TOKEN'));
    if (!URL.canParse(url)) return err(usageFailure(`${JSON.stringify(url)} is not a URL`));
    return ok(new DaemonClient(url.replace(/\/$/, ''), token));
  }

  /** Sends a GET request; any status other than 200 is a failure. */
  async get(path: string): Promise<Result<unknown, CommandFailure>> {
    const answer = await this.send('GET', path);
    return answer.andThen((value) =>
      value.status === 200
        ? ok(value.body)
        : err({ code: ExitCode.failed, message: errorMessageOf(value) }),
    );
  }

  async post(path: string, body: unknown): Promise<Result<unknown, CommandFailure>> {
    const answer = await this.send('POST', path, JSON.stringify(body));
    return answer.andThen((value) =>
      value.status === 200
        ? ok(value.body)
        : err({ code: ExitCode.failed, message: errorMessageOf(value) }),
    );
  }

  /** Sends a request and returns the response regardless of its status. */
  send(
    method: 'GET' | 'POST',
    path: string,
    body?: string | Uint8Array,
  ): ResultAsync<DaemonResponse, CommandFailure> {
    const call = async (): Promise<DaemonResponse> => {
      const response = await request(`${this.url}/operator/v1${path}`, {
        method,
        headers: { Authorization: `Bearer ${this.token}` },
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        ...(body === undefined ? {} : { body }),
      });
      return { status: response.statusCode, body: await response.body.json() };
    };
    return ResultAsync.fromPromise(call(), (error) => ({
      // A change that was sent may have taken effect although its answer was lost.
      code: method === 'GET' || isNotSent(error) ? ExitCode.unreachable : ExitCode.unknown,
      message: `${this.url}: ${error instanceof Error ? error.message : String(error)}`,
    }));
  }
}
