"""Tests of priorities and weights of queued requests."""

import collections

import testtools

from nutmegtrail.limits import fair_queue


def _arrival(number, account='a', priority=5, weight=1.0):
    """Return an arriving request."""
    name = f'{account}{number}'
    return fair_queue.NewRequest(name, account, priority, weight)


class FairQueueTest(testtools.TestCase):
    """Order of waiting requests."""

    def test_slots_limit_running_requests(self):
        """No more requests run than there are slots; the queue is bounded."""
        queue = fair_queue.Queue(4)
        for number in range(20):
            outcome = fair_queue.enqueue(queue, _arrival(number))
            queue = outcome.queue
            self.assertTrue(len(queue.running_ids) <= 4)
        self.assertEqual(2, len(queue.waiting))

    def test_higher_priority_is_served_first(self):
        """The request with the lowest priority is refused first."""
        queue = fair_queue.Queue(2)
        for number in range(3):
            arrival = _arrival(number, priority=9)
            queue = fair_queue.enqueue(queue, arrival).queue
        outcome = fair_queue.enqueue(queue, _arrival(9, 'urgent', 0))
        self.assertEqual(('a2',), outcome.refused_ids)
        removed = fair_queue.remove(outcome.queue, 'a0')
        self.assertEqual(('urgent9',), removed.started_ids)

    def test_burst_does_not_affect_other_accounts(self):
        """An account within its share is served despite a burst of another."""
        queue = fair_queue.Queue(10)
        for number in range(15):
            queue = fair_queue.enqueue(queue, _arrival(number, 'burst')).queue
        outcome = fair_queue.enqueue(queue, _arrival(0, 'small'))
        self.assertNotIn('small0', outcome.refused_ids)
        removed = fair_queue.remove(outcome.queue, 'burst0')
        self.assertEqual(('small0',), removed.started_ids)

    def test_weights_share_the_slots(self):
        """Accounts with waiting requests are served by weight."""
        queue = fair_queue.Queue(1)
        served = collections.Counter()
        numbers = collections.Counter()
        running = 'none'
        for _ in range(400):
            for account, weight in (('heavy', 3.0), ('light', 1.0)):
                waiting_accounts = {
                    request.client_account for request in queue.waiting
                }
                if account not in waiting_accounts:
                    numbers[account] += 1
                    arrival = _arrival(numbers[account], account, 5, weight)
                    widened = queue._replace(slots=4)
                    queue = fair_queue.enqueue(
                        widened._replace(
                            running_ids=frozenset('xyz') | queue.running_ids,
                        ),
                        arrival,
                    ).queue
                    queue = queue._replace(
                        slots=1,
                        running_ids=queue.running_ids - frozenset('xyz'),
                    )
            running = next(iter(queue.running_ids))
            served[running.rstrip('0123456789')] += 1
            queue = fair_queue.remove(queue, running).queue
        self.assertTrue(2 <= served['heavy'] / served['light'] <= 4)
