import type { GatewaySettings } from '../src/process/gateway-settings';
import { RetryBudgets } from '../src/process/retry-budgets';

const settings = { retryShare: 0.2, retrySlack: 214, retryWindowMs: 10_000 } as GatewaySettings;

const countWithdrawals = (budgets: RetryBudgets, now: number): number => {
  let count = 0;
  while (budgets.of('s').withdraw(now)) count += 1;
  return count;
};

describe('members share a retry budget', () => {
  // Guards against shares below one retry, with which the members of a large fleet could never retry.
  test('credit from successes is usable also by one of many members', () => {
    const budgets = RetryBudgets.create(settings, () => 87);
    expect(countWithdrawals(budgets, 0)).toBe(0);
    for (let count = 0; count < 20; count += 1) budgets.of('s').deposit(0);
    expect(countWithdrawals(budgets, 0)).toBe(1);
  });

  // Guards against a member that keeps the whole slack because it knew no other members at its start.
  test('the shares are resized when members join', () => {
    let members = 1;
    const budgets = RetryBudgets.create(settings, () => members);
    expect(budgets.of('s').available(0)).toBe(85);
    members = 87;
    expect(budgets.of('s').available(0)).toBe(0);
  });

  // Guards against members that together exceed the retry budget.
  test.each([1, 6, 87, 200])('%i members stay within the slack', (count) => {
    const each = RetryBudgets.create(settings, () => count);
    let used = countWithdrawals(each, 0);
    for (let now = 100; now <= settings.retryWindowMs; now += 100)
      used += countWithdrawals(each, now);
    expect(used * count).toBeLessThanOrEqual(settings.retrySlack);
  });
});
