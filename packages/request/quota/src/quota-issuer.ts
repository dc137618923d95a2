import type { QuotaDecision, QuotaQuestion, QuotaReturn } from './messages';

/** Answer to a member's question. */
export type QuotaAnswer =
  | { readonly decision: QuotaDecision; readonly issuer: string }
  /** The member grants no tokens at present. */
  | 'elsewhere'
  /** The member did not respond, or there is none at that rank. */
  | 'silent';

/** The members that grant a customer's tokens, this process or others. */
export interface QuotaIssuer {
  /** Asks the member at a rank, 0 for the first. */
  ask(
    customer: string,
    question: Omit<QuotaQuestion, 'member'>,
    rank: number,
  ): Promise<QuotaAnswer>;
  /** Gives tokens back to the member that granted them; they are lost if it cannot be reached. */
  giveBack(customer: string, returned: QuotaReturn, issuer: string): void;
}
