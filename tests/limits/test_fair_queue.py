"""Priorities and shares of the requests that wait for an upstream."""

import collections

import testtools

from nutmegtrail.limits import fair_queue


def _arrival(number, account='a', priority=5, weight=1.0):
    """Return an arriving request."""
    name = f'{account}{number}'
    return fair_queue.NewRequest(name, account, priority, weight)


class FairQueueTest(testtools.TestCase):
    """The order of waiting requests."""

    def test_slots_bound_what_runs(self):
        """No more requests run than there are slots, none is lost."""
        queue = fair_queue.Queue(4)
        for number in range(20):
            outcome = fair_queue.enqueue(queue, _arrival(number))
            queue = outcome.queue
            self.assertTrue(len(queue.running_ids) <= 4)
        self.assertEqual(2, len(queue.waiting))

    def test_higher_priority_goes_first(self):
        """The lowest priority is refused before a higher one waits."""
        queue = fair_queue.Queue(2)
        for number in range(3):
            arrival = _arrival(number, priority=9)
            queue = fair_queue.enqueue(queue, arrival).queue
        outcome = fair_queue.enqueue(queue, _arrival(9, 'urgent', 0))
        self.assertEqual(('a2',), outcome.refused_ids)
        left = fair_queue.remove(outcome.queue, 'a0')
        self.assertEqual(('urgent9',), left.started_ids)

    def test_burst_costs_others_nothing(self):
        """An account within its share is served beside a burst."""
        queue = fair_queue.Queue(10)
        for number in range(15):
            queue = fair_queue.enqueue(queue, _arrival(number, 'burst')).queue
        outcome = fair_queue.enqueue(queue, _arrival(0, 'small'))
        self.assertNotIn('small0', outcome.refused_ids)
        left = fair_queue.remove(outcome.queue, 'burst0')
        self.assertEqual(('small0',), left.started_ids)

    def test_weights_share_the_slots(self):
        """Backlogged accounts are served by weight."""
        queue = fair_queue.Queue(1)
        served = collections.Counter()
        numbers = collections.Counter()
        running = 'none'
        for _ in range(400):
            for account, weight in (('heavy', 3.0), ('light', 1.0)):
                waiting = {one.client_account for one in queue.waiting}
                if account not in waiting:
                    numbers[account] += 1
                    arrival = _arrival(numbers[account], account, 5, weight)
                    grown = queue._replace(slots=4)
                    queue = fair_queue.enqueue(
                        grown._replace(
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
