import { digest } from '@currantdrift/core';
import type { ChatRequest, ServiceRequest } from './request';

/** Digest of a chat request's caller and content, the same in each domain that it is forwarded to. */
export const chatDigest = (request: ChatRequest): string => {
  const { caller, item, messages, maxTokens, temperature, seed } = request;
  return digest(caller.name, item, JSON.stringify({ messages, maxTokens, temperature, seed }));
};

/** Digest of a call's caller and content. The idempotency key may differ between repeats. */
export const callDigest = (request: ServiceRequest): string => {
  const { caller, service, call, method, query, body } = request;
  return digest(caller.name, service, call, method, query, body);
};
