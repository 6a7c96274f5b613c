"""Budgets, quarantine and final answers."""

import random

import orjson
import testtools

from nutmegtrail.retries import budget
from nutmegtrail.retries import const
from nutmegtrail.retries import models
from nutmegtrail.retries import problems
from nutmegtrail.retries import quarantine


class BudgetTest(testtools.TestCase):
    """Retries are a share of the successes."""

    def test_amplification_under_a_total_outage(self):
        """Without successes, retries end after the burst."""
        held = budget.Budget()
        retries = 0
        for _ in range(10_000):
            spent = budget.spend(held)
            retries += spent is not None
            held = held if spent is None else spent
        self.assertTrue((10_000 + retries) / 10_000 <= 1.1)

    def test_amplification_with_half_failing(self):
        """Sends per request stay within 1.1 after the burst."""
        held = budget.Budget()
        sends = 0
        for number in range(10_000):
            sends += 1
            if number % 2:
                held = budget.record_success(held)
                continue
            spent = budget.spend(held)
            sends += spent is not None
            held = held if spent is None else spent
        self.assertTrue(sends <= 10_000 * 1.1 + const.RETRY_BURST)


class QuarantineTest(testtools.TestCase):
    """Requests that crash upstreams."""

    def test_bounded_crashes(self):
        """A request is refused after the limit, by whichever entry."""
        held = quarantine.Quarantine()
        crashes = 0
        for number in range(10):
            if quarantine.is_quarantined(held, 'bad', 1.0):
                break
            crashes += 1
            held = quarantine.mark(held, 'bad', f'crash{number}', 1.0)
        self.assertEqual(const.CRASH_LIMIT, crashes)

    def test_one_crash_told_twice_counts_once(self):
        """A crash heard from several entries is one mark."""
        held = quarantine.Quarantine()
        for _ in range(5):
            held = quarantine.mark(held, 'companion', 'crash', 1.0)
        self.assertFalse(quarantine.is_quarantined(held, 'companion', 1.0))
        self.assertTrue(quarantine.is_marked(held, 'companion', 1.0))

    def test_companion_is_cleared_by_a_whole_answer(self):
        """An innocent request leaves no mark once it has been answered."""
        held = quarantine.mark(quarantine.Quarantine(), 'c', 'crash', 1.0)
        held = quarantine.clear(held, 'c')
        self.assertFalse(quarantine.is_marked(held, 'c', 1.0))

    def test_marks_age_out(self):
        """Old marks count no more and are dropped."""
        held = quarantine.mark(quarantine.Quarantine(), 'c', 'crash', 1.0)
        late = const.CRASH_MARK_SECONDS + 2
        self.assertFalse(quarantine.is_marked(held, 'c', late))
        self.assertEqual(
            {}, quarantine.remove_expired(held, late).marks_by_fingerprint
        )


class ProblemTest(testtools.TestCase):
    """Final refusals."""

    def test_every_reason_has_an_answer(self):
        """Each refusal names its type; a later try gets a Retry-After."""
        generator = random.Random(1)
        for reason in models.Reason:
            problem = problems.create_problem(reason, 'd', 'r', generator)
            document = orjson.loads(problem.body)
            self.assertTrue(document['type'].startswith('urn:nutmegtrail:'))
            self.assertEqual(problem.status, document['status'])
            if problem.status in {429, 503}:
                self.assertTrue(problem.retry_after_seconds >= 1)

    def test_retry_after_is_spread(self):
        """Callers that are refused together do not return together."""
        generator = random.Random(1)
        limit = models.Reason.LIMIT
        times = {
            problems.create_problem(
                limit, 'd', 'r', generator
            ).retry_after_seconds
            for _ in range(100)
        }
        self.assertTrue(len(times) >= const.RETRY_AFTER_SPREAD_SECONDS)
