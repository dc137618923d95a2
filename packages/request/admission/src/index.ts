export { AdmissionQueues as AdmissionQueues } from './admission';
export type { Grant, Ticket } from './entry';
export { AdmissionQueue, type QueueStatus, type Take } from './queue';
export type { AdmissionRefusal, AdmissionRequest } from './request';
export { type AdmissionSettings, defaultAdmissionSettings } from './settings';
