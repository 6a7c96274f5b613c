"""Tests that retries stay within the budget in every window."""

import random

import testtools

from nutmegtrail.gateway import retry_budget

_ALLOWANCE = retry_budget.Allowance(10, 0.2, 5)


class RetryBudgetTest(testtools.TestCase):
    """Pattern `retry_abuse`: every request needs a retry."""

    def test_every_window(self):
        """No sliding window contains more retries than allowed."""
        generator = random.Random(1)
        budget = retry_budget.Budget()
        requests = []
        retries = []
        now = 0.0
        for _ in range(3_000):
            now += generator.expovariate(20)
            requests.append(now)
            budget = retry_budget.record_request(budget, 10, now)
            spent = retry_budget.spend(budget, _ALLOWANCE, now)
            if spent is not None:
                budget = spent
                retries.append(now)
        for end in retries:
            window_retries = [
                timestamp
                for timestamp in retries
                if end - 10 < timestamp <= end
            ]
            window_requests = [
                timestamp
                for timestamp in requests
                if end - 10 < timestamp <= end
            ]
            self.assertTrue(
                len(window_retries) <= 0.2 * len(window_requests) + 5
            )
        self.assertTrue(len(retries) > 500)
