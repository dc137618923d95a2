/** Request Timeout, Misdirected Request, Too Early, Too Many Requests, Service Unavailable. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 425, 429, 503]);

/**
 * Whether clients may take an answer with the status as a promise that the request has not run and will
 * not (RFC 9110, RFC 6585, RFC 8470), so that they send it again. Only who knows that may answer with it.
 */
export const impliesNotRun = (status: number): boolean => notRunStatuses.has(status);
