export { AdmissionQueues } from './admission-queues';
export type { Grant, Ticket } from './queue-entry';
export { AdmissionQueue, type QueueStatus, type AcquireCapacity } from './queue';
export type { AdmissionRefusal, AdmissionRequest } from './request';
export { type AdmissionSettings, defaultAdmissionSettings } from './settings';
