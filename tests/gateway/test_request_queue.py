"""Tests of the request queue under overload."""

import testtools

from nutmegtrail.gateway import request_queue


def _request(
    name, account='a', objective_deadline=0.4, latest_start=1.4, priority=1
):
    """Return a request that arrived at time 0."""
    return request_queue.QueuedRequest(
        name,
        account,
        priority,
        objective_deadline,
        latest_start,
        frozenset(),
    )


def _queue(*arrivals):
    """Return a queue with the requests in order of arrival."""
    queue = request_queue.RequestQueue()
    for arrival in arrivals:
        queue = request_queue.enqueue(queue, arrival)
    return queue


def _order(queue, response_at):
    """Return the request IDs in service order."""
    return [
        request.request_id
        for request in request_queue.in_service_order(queue, response_at)
    ]


class RequestQueueTest(testtools.TestCase):
    """Service order and load shedding."""

    def test_late_requests_are_served_last(self):
        """Requests that can meet their objective are served first."""
        queue = _queue(_request('old', objective_deadline=0.1), _request('new'))
        self.assertEqual(['old', 'new'], _order(queue, 0.05))
        self.assertEqual(['new', 'old'], _order(queue, 0.2))

    def test_resumed_streams_go_first(self):
        """A stream whose caller has its first events is not refused for others.

        It was refused at once, since its first event was long due.
        """
        resumed = _request('resumed', latest_start=9)._replace(is_resumed=True)
        queue = _queue(_request('urgent', priority=0), resumed)
        self.assertEqual(['resumed', 'urgent'], _order(queue, 3))
        later = _request('later', latest_start=9)
        queue = request_queue.enqueue(queue, later)
        result = request_queue.shed_load(queue, 1, 1.3)
        self.assertEqual(('later',), result.refused_ids)
        result = request_queue.shed_load(queue, 1, 3)
        self.assertEqual(('urgent',), result.refused_ids)

    def test_accounts_share_fairly(self):
        """A burst of one account does not delay other accounts."""
        burst = [_request(f'flood-{number}') for number in range(9)]
        queue = _queue(*burst, _request('other', account='b'))
        self.assertEqual(1, _order(queue, 0).index('other'))

    def test_priority(self):
        """Lower priority numbers are served first."""
        queue = _queue(_request('later'), _request('first', priority=0))
        self.assertEqual(['first', 'later'], _order(queue, 0))

    def test_refused_at_once(self):
        """Requests over the limit are refused, the last in order first."""
        queue = _queue(*(_request(f'r{number}') for number in range(5)))
        result = request_queue.shed_load(queue, slots=3, now_seconds=0)
        self.assertEqual(('r3', 'r4'), result.refused_ids)
        self.assertEqual(['r0', 'r1', 'r2'], _order(result.queue, 0))

    def test_expired_request_is_refused(self):
        """Requests past their latest start are refused."""
        queue = _queue(_request('gone', latest_start=0.5), _request('kept'))
        result = request_queue.shed_load(queue, slots=9, now_seconds=0.6)
        self.assertEqual(('gone',), result.refused_ids)

    def test_rate_of_limited_upstreams(self):
        """Pattern `capped`: what cannot start in time is refused at once.

        Two requests can start per second. The least urgent ones are refused.
        """
        queue = _queue(
            _request('later', latest_start=1.2, priority=2),
            _request('last', latest_start=1.2, priority=3),
            _request('patient', latest_start=9, priority=4),
            *(
                _request(f'r{number}', latest_start=1.2, priority=1)
                for number in range(2)
            ),
        )
        availability = request_queue.Availability({'u1': 0.1}, 2)
        result = request_queue.shed_load(queue, 9, 0, availability)
        self.assertEqual(('last',), result.refused_ids)
        closed = request_queue.Availability({'u1': float('inf')}, 0)
        result = request_queue.shed_load(queue, 9, 0, closed)
        self.assertEqual(5, len(result.refused_ids))

    def test_hopeless_requests_are_refused_at_once(self):
        """A request is refused if no upstream is available in its time.

        One that may go to an upstream which is available sooner stays.
        """
        queue = _queue(
            _request('soon', latest_start=1),
            _request('later', latest_start=3),
            _request('excluding', latest_start=3)._replace(
                excluded_ids=frozenset(('u1',))
            ),
            _request('excluding all', latest_start=3)._replace(
                excluded_ids=frozenset(('u1', 'u2'))
            ),
        )
        cases = (
            ({}, ()),
            ({'u1': float('-inf'), 'u2': 9}, ('excluding',)),
            ({'u1': 1, 'u2': 9}, ('soon', 'excluding')),
            ({'u1': 2.9, 'u2': 2.9}, ('soon',)),
            ({'u1': 3, 'u2': 9}, ('soon', 'later', 'excluding')),
        )
        for available_from_by_id, refused_ids in cases:
            result = request_queue.shed_load(
                queue, 9, 0, request_queue.Availability(available_from_by_id)
            )
            self.assertEqual(
                set(refused_ids),
                set(result.refused_ids),
                available_from_by_id,
            )

    def test_refused_requests_use_no_share(self):
        """Pattern `hot_key`: refusals do not use up the share of an account.

        Its next request goes before the later ones of another account. Each
        refused one had moved it further behind.
        """
        queue = _queue(*(_request(f'hot-{number}') for number in range(20)))
        queue = request_queue.shed_load(queue, 2, 0).queue
        self.assertEqual(2, len(queue.requests))
        for name in ('b1', 'b2', 'b3', 'b4'):
            queue = request_queue.enqueue(queue, _request(name, 'b'))
        queue = request_queue.enqueue(queue, _request('hot-next'))
        self.assertEqual(
            ['hot-0', 'b1', 'hot-1', 'b2', 'b3', 'hot-next', 'b4'],
            _order(queue, 0),
        )

    def test_cancelled_request_advances_its_account(self):
        """What an account queued after a cancelled request moves up."""
        queue = _queue(
            _request('a1'),
            _request('a2'),
            _request('a3'),
            _request('b1', 'b'),
            _request('b2', 'b'),
        )
        queue = request_queue.remove(queue, 'a1')
        self.assertEqual(['a2', 'b1', 'a3', 'b2'], _order(queue, 0))

    def test_share_by_work(self):
        """An account with long requests waits longer for its next one."""
        queue = _queue(
            *(_request(f'long-{number}')._replace(work=3) for number in (1, 2)),
            *(_request(f'short-{number}', 'b') for number in (1, 2, 3)),
        )
        self.assertEqual(
            ['long-1', 'short-1', 'short-2', 'short-3', 'long-2'],
            _order(queue, 0),
        )
