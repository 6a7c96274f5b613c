"""Tests of the rate of starts and of what is hopeless by it."""

import math

import testtools

from nutmegtrail.gateway import request_queue
from nutmegtrail.overload import contention


def _waiting(name, priority=0, latest_start=10.0):
    """Return a request that waits."""
    return request_queue.QueuedRequest(
        name, 'a', priority, 9.5, latest_start, frozenset()
    )


class StartRateTest(testtools.TestCase):
    """Rate at which requests that wait for room are started."""

    def test_rate_while_requests_wait(self):
        """Load pattern `burst`: 20 starts per second while some wait."""
        contention_for_room = contention.Contention()
        for number in range(21):
            now = number / 20
            contention_for_room.record_round(1, 5, now)
        self.assertEqual(20, contention_for_room.starts_per_second(1))

    def test_unknown_rate(self):
        """Without a queue, or right after it began, the rate is not known."""
        contention_for_room = contention.Contention()
        self.assertEqual(math.inf, contention_for_room.starts_per_second(0))
        contention_for_room.record_round(3, 5, 0)
        self.assertEqual(math.inf, contention_for_room.starts_per_second(0.9))
        contention_for_room.record_round(3, 0, 0.95)
        contention_for_room.record_round(3, 1, 0.99)
        self.assertEqual(math.inf, contention_for_room.starts_per_second(1.5))

    def test_stalled_upstreams(self):
        """Pattern of a group with a broken rank: a stall refuses nobody."""
        contention_for_room = contention.Contention()
        for number in range(40):
            contention_for_room.record_round(0, 5, number / 20)
        self.assertEqual(math.inf, contention_for_room.starts_per_second(2))

    def test_hopeless_by_rate(self):
        """Load pattern `burst`: what cannot start in time is refused at once.

        At 20 starts per second, 10 requests start within half a second. The
        least urgent ones are refused, not the last that came.
        """
        queue = request_queue.RequestQueue()
        for number in range(8):
            queue = request_queue.enqueue(queue, _waiting(f'low-{number}', 2))
        for number in range(8):
            queue = request_queue.enqueue(queue, _waiting(f'top-{number}'))
        availability = request_queue.Availability({}, 20)
        result = request_queue.shed_load(queue, 60, 9.5, availability)
        self.assertEqual(
            tuple(f'low-{number}' for number in range(2, 8)),
            result.refused_ids,
        )
