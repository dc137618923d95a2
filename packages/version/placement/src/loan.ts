import { z } from 'zod';

/** Replica slots of an item that one domain lends to another. */
export const loanSchema = z.object({
  id: z.string().min(1),
  /** Item name without version. */
  item: z.string().min(1),
  slots: z.number().int().positive(),
  giver: z.string().min(1),
  taker: z.string().min(1),
  /** Limit of the item in the giver's bundle when the slots were lent. */
  limit: z.number().int().positive(),
});

export type Loan = Readonly<z.infer<typeof loanSchema>>;

/**
 * Allotment of a domain including its loans; `own` is its allotment without them. Lent slots are
 * always subtracted. Borrowed slots are added only while the limit is at least the limit at which
 * they were lent, because at a lower limit the giver may not own them.
 */
export const allotmentWithLoans = (
  own: number,
  item: string,
  limit: number,
  domain: string,
  loans: readonly Loan[],
): number => {
  const change = loans
    .filter((loan) => loan.item === item)
    .reduce((sum, loan) => {
      if (loan.giver === domain) return sum - loan.slots;
      return loan.taker === domain && limit >= loan.limit ? sum + loan.slots : sum;
    }, 0);
  return Math.max(0, own + change);
};
