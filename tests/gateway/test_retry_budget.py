"""Second sends stay within the platform's share in every window."""

import random

import testtools

from nutmegtrail.gateway import retry_budget

_ALLOWANCE = retry_budget.Allowance(10, 0.2, 5)


class RetryBudgetTest(testtools.TestCase):
    """Pattern `retry_abuse`: every request asks for a second send."""

    def test_every_window(self):
        """No sliding window holds more repeats than allowed."""
        generator = random.Random(1)
        budget = retry_budget.Budget()
        requests = []
        repeats = []
        now = 0.0
        for _ in range(3_000):
            now += generator.expovariate(20)
            requests.append(now)
            budget = retry_budget.requested(budget, 10, now)
            spent = retry_budget.spend(budget, _ALLOWANCE, now)
            if spent is not None:
                budget = spent
                repeats.append(now)
        for end in repeats:
            window = [one for one in repeats if end - 10 < one <= end]
            asked = [one for one in requests if end - 10 < one <= end]
            self.assertTrue(len(window) <= 0.2 * len(asked) + 5)
        self.assertTrue(len(repeats) > 500)
