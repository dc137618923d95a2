import { maxParts, maxTextLength } from './crash-report';
import type { WatchedRequest } from './watched-send';

/** Prefix of the subject that stands for a whole request. */
const requestPrefix = 'request:';

/** The subject that stands for all repeats of a request. */
export const requestSubject = ({ digest }: Pick<WatchedRequest, 'digest'>): string =>
  `${requestPrefix}${digest}`;

export const isRequestSubject = (subject: string): boolean => subject.startsWith(requestPrefix);

/**
 * What of a request may be to blame for a crash: the parts of its prompt that other prompts may share, and
 * the request itself.
 */
export const subjectsOf = (
  request: Pick<WatchedRequest, 'promptParts' | 'digest'>,
): readonly string[] => [
  ...request.promptParts
    .slice(0, -1)
    // A client must not name another request in its prompt.
    .filter((part) => part.length <= maxTextLength && !isRequestSubject(part))
    .slice(0, maxParts - 1),
  requestSubject(request),
];
