import { decodeJson, digest, type Entry } from '@currantdrift/core';
import { z } from 'zod';
import { daemonPrefix } from './members';

/** Prefix of the records of software versions, one for each service. */
export const softwarePrefix = `${daemonPrefix}software-versions/`;

const maxTextLength = 200;
const maxVersions = 100;

const recordedVersionSchema = z.object({
  softwareVersion: z.string().max(maxTextLength),
  /** Whether streams may begin at the version. */
  isSettled: z.boolean(),
});
export type RecordedVersion = Readonly<z.infer<typeof recordedVersionSchema>>;

const recordSchema = z.object({
  service: z.string().max(maxTextLength),
  versions: z.array(recordedVersionSchema).max(maxVersions),
});

/** The software versions of a service at which a stream that has not ended may have begun. */
export interface SoftwareRecord {
  readonly service: string;
  readonly versions: readonly RecordedVersion[];
}

/** Key in the store of the record of a service. */
export const softwareKeyOf = (service: string): string => `${softwarePrefix}${digest(service)}`;

export const encodeSoftwareRecord = ({ service, versions }: SoftwareRecord): Uint8Array =>
  Buffer.from(JSON.stringify({ service, versions }));

/** The record in an entry; undefined if it cannot be read. */
export const decodeSoftwareRecord = ({ value }: Entry): SoftwareRecord | undefined =>
  decodeJson(recordSchema, value).unwrapOr(undefined);
