import { type KeyObject, sign, verify } from 'node:crypto';
import type { Bundle } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { bundleDigest } from './canonical';
import { keyId } from './keys';
import { type Rejection, rejection, RejectionKind } from './rejection';
import type { TrustedKeys } from './trusted-keys';

export const signatureSchema = z.strictObject({
  operator: z.string().min(1).max(64),
  keyId: z.string().max(64),
  value: z.base64().max(128),
});

/** An operator's Ed25519 signature, in base64. */
export type Signature = z.infer<typeof signatureSchema>;

/** The two signatures that a bundle needs. */
export interface Signatures {
  readonly proposal: Signature;
  readonly signOff: Signature;
}

export interface ProposedBundle {
  readonly bundle: Bundle;
  readonly proposal: Signature;
}

/** A bundle with both signatures, ready to be rolled out. */
export interface SignedBundle extends Signatures {
  readonly bundle: Bundle;
}

// The signed text includes the purpose, so that a proposal cannot be used as a sign-off.
const proposalText = (digest: string): Buffer =>
  Buffer.from(`currantdrift bundle proposal\n${digest}`);
const signOffText = (digest: string, proposal: Signature): Buffer =>
  Buffer.from(`currantdrift bundle sign-off\n${digest}\n${proposal.operator}\n${proposal.value}`);

const signature = (operator: string, key: KeyObject, text: Buffer): Signature => ({
  operator,
  keyId: keyId(key),
  value: sign(null, text, key).toString('base64'),
});

/** Signs a parsed bundle as its proposer. */
export const proposeBundle = (
  bundle: Bundle,
  operator: string,
  privateKey: KeyObject,
): ProposedBundle => ({
  bundle,
  proposal: signature(operator, privateKey, proposalText(bundleDigest(bundle))),
});

const wrongSignature = (message: string): Rejection =>
  rejection(RejectionKind.wrongSignature, 'bundle.verify', message);

const verifySignature = (
  what: string,
  given: Signature,
  text: Buffer,
  trusted: TrustedKeys,
): Result<void, Rejection> => {
  const key = trusted.get(given.operator);
  if (key === undefined) {
    return err(
      wrongSignature(`the ${what} is by ${JSON.stringify(given.operator)}, who is not trusted`),
    );
  }
  if (!verify(null, text, key, Buffer.from(given.value, 'base64'))) {
    return err(
      wrongSignature(
        `the signature of the ${what} by ${JSON.stringify(given.operator)} is not valid`,
      ),
    );
  }
  return ok(undefined);
};

/** Verifies only the proposer's signature, before a second operator signs off. */
export const verifyProposal = (
  proposed: ProposedBundle,
  trusted: TrustedKeys,
): Result<void, Rejection> =>
  verifySignature(
    'proposal',
    proposed.proposal,
    proposalText(bundleDigest(proposed.bundle)),
    trusted,
  );

/**
 * Signs off a proposed bundle. Fails if the operator or the key is the proposer's, or if the
 * proposal's signature is not valid.
 */
export const signOffBundle = (
  proposed: ProposedBundle,
  operator: string,
  privateKey: KeyObject,
  trusted: TrustedKeys,
): Result<SignedBundle, Rejection> =>
  verifyProposal(proposed, trusted).andThen(() => {
    const { proposal, bundle } = proposed;
    if (proposal.operator === operator || proposal.keyId === keyId(privateKey)) {
      return err(
        wrongSignature(
          'the sign-off must be by another operator, with another key, than the proposal',
        ),
      );
    }
    const text = signOffText(bundleDigest(bundle), proposal);
    return ok({ bundle, proposal, signOff: signature(operator, privateKey, text) });
  });

/** Verifies both signatures over a digest. */
export const verifySignatures = (
  digest: string,
  { proposal, signOff }: Signatures,
  trusted: TrustedKeys,
): Result<void, Rejection> => {
  const first = trusted.get(proposal.operator);
  const second = trusted.get(signOff.operator);
  if (first !== undefined && second !== undefined && keyId(first) === keyId(second)) {
    return err(wrongSignature('the proposal and the sign-off are by the same operator or key'));
  }
  return verifySignature('proposal', proposal, proposalText(digest), trusted).andThen(() =>
    verifySignature('sign-off', signOff, signOffText(digest, proposal), trusted),
  );
};
