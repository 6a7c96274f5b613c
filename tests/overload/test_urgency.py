"""Tests of who goes first when the room does not suffice for all."""

import collections
import random

import testtools

from nutmegtrail.gateway import request_queue
from nutmegtrail.overload import const
from nutmegtrail.overload import models
from nutmegtrail.overload import urgency

# Seconds from the dispatch to the first event.
_RESPONSE_SECONDS = 0.2
_TICK_SECONDS = 0.05
_OBJECTIVES_BY_PRIORITY = {0: 0.5, 1: 0.5, 2: 1.0}
_WAIT_LIMIT_SECONDS = 1.4


def _request(name, now=0.0, priority=0, account='a', work=1.0, **changes):
    """Return a request that arrives at a time."""
    return request_queue.QueuedRequest(
        name,
        account,
        priority,
        now + _OBJECTIVES_BY_PRIORITY[priority],
        now + _WAIT_LIMIT_SECONDS,
        frozenset(),
        work=work,
    )._replace(**changes)


def _order(requests, response_at=_RESPONSE_SECONDS, passed_over=0):
    """Return the names of the requests in service order."""
    turns = models.Turns(passed_over)
    ordered = urgency.order(requests, response_at, turns)
    return [request.request_id for request in ordered]


class Outcomes:
    """Requests of a load that were served in time, late, or refused."""

    def __init__(self):
        """Initialize without any request."""
        self.in_time = collections.Counter()
        self.served = collections.Counter()
        self.asked = collections.Counter()

    def share(self, counts, key):
        """Return the share of the requests with a key that are counted."""
        return counts[key] / self.asked[key]


def _serve(arrivals_by_tick, starts_per_tick):
    """Return the outcomes of a load whose room frees at a constant rate.

    They are counted by priority, by account and by work.
    """
    queue = request_queue.RequestQueue()
    outcomes = Outcomes()
    for tick, arrivals in enumerate(arrivals_by_tick):
        now = tick * _TICK_SECONDS
        for request in arrivals:
            queue = request_queue.enqueue(queue, request)
            outcomes.asked.update(_keys(request))
        for _ in range(starts_per_tick):
            ordered = request_queue.in_service_order(
                queue, now + _RESPONSE_SECONDS
            )
            if not ordered:
                break
            started = ordered[0]
            queue = request_queue.dequeue(queue, started)
            outcomes.served.update(_keys(started))
            if now + _RESPONSE_SECONDS <= started.objective_deadline_seconds:
                outcomes.in_time.update(_keys(started))
        queue = request_queue.shed_load(queue, 60, now).queue
    return outcomes


def _keys(request):
    """Return what a request is counted by."""
    return (
        ('priority', request.priority),
        ('account', request.account),
        ('work', request.work),
    )


def _load(counts_by_priority, ticks=200, accounts='abcdefgh'):
    """Return the arrivals of each tick, `counts` of each priority in it."""
    generator = random.Random(1)
    return [
        [
            _request(
                f'{tick}-{priority}-{number}',
                tick * _TICK_SECONDS,
                priority,
                generator.choice(accounts),
                work=generator.choice((0.5, 0.5, 1.0, 3.0)),
            )
            for priority, count in counts_by_priority.items()
            for number in range(count)
        ]
        for tick in range(ticks)
    ]


class OrderTest(testtools.TestCase):
    """Order of the requests that wait."""

    def test_urgent_before_less_urgent_in_time(self):
        """Requests that can be in time are ordered by priority."""
        requests = (_request('2', priority=2), _request('0', priority=0))
        self.assertEqual(['0', '2'], _order(requests))

    def test_late_request_keeps_its_priority(self):
        """A late request goes after those in time of its priority alone.

        It waited behind less urgent ones too and was refused, while some of
        them that came later were served.
        """
        late = _request('late', now=-0.6)
        less = _request('less', priority=2)
        equal = _request('equal')
        for response_at in (0.2, 0.5):
            self.assertEqual(
                ['equal', 'late', 'less'],
                _order((late, less, equal), response_at),
            )

    def test_earliest_objective_among_equals(self):
        """Of two accounts with equal shares, the earlier objective is first."""
        later = _request('later', account='b')._replace(
            objective_deadline_seconds=9.0
        )
        self.assertEqual(
            ['sooner', 'later'], _order((later, _request('sooner')))
        )

    def test_turn_of_a_less_urgent_request(self):
        """After some starts, the least urgent request gets its turn."""
        requests = (
            _request('urgent'),
            _request('less', priority=2),
            _request('resumed', is_resumed=True),
        )
        for passed_over, expected in (
            (const.PASSED_OVER_LIMIT - 1, ['resumed', 'urgent', 'less']),
            (const.PASSED_OVER_LIMIT, ['resumed', 'less', 'urgent']),
        ):
            self.assertEqual(expected, _order(requests, 0.2, passed_over))

    def test_headroom(self):
        """Part of the room is left to what is more urgent and asked lately."""
        for priority, asked, expected in (
            (0, {0: 9.5, 1: 9.5, 2: 9.5}, 1.0),
            (2, {2: 9.5}, 1.0),
            (1, {0: 9.5}, 0.95),
            (2, {0: 9.5, 1: 9.5}, 0.9),
            (2, {0: 8.5, 1: 9.5}, 0.95),
            (2, {0: 8.5, 1: 8.5}, 1.0),
        ):
            request = _request('r', 10, priority)
            ratio = urgency.capacity_ratio(request, 10.2, asked, 10)
            self.assertAlmostEqual(expected, ratio)

    def test_headroom_of_late_requests(self):
        """Late ones leave more room, resumed ones and last chances do not."""
        late = _request('late')
        for changes, now, expected in (
            ({}, 0.6, const.LATE_REQUEST_CAPACITY_RATIO),
            ({}, 1.2, 1.0),
            ({'is_resumed': True}, 0.6, 1.0),
        ):
            request = late._replace(**changes)
            ratio = urgency.capacity_ratio(request, now, {}, now)
            self.assertAlmostEqual(expected, ratio)


class LoadTest(testtools.TestCase):
    """Loads over the rate at which room becomes free, over ten seconds."""

    def test_burst_of_the_least_urgent(self):
        """Load pattern `burst` of the least urgent kind, 2.4 times the room.

        All of the more urgent kinds are in time; the rest of the room serves
        the burst.
        """
        outcomes = _serve(_load({0: 1, 1: 1, 2: 5}), 3)
        for priority in (0, 1):
            key = 'priority', priority
            self.assertTrue(outcomes.share(outcomes.in_time, key) > 0.98)
        served = outcomes.share(outcomes.served, ('priority', 2))
        self.assertTrue(0.15 < served < 0.25, served)

    def test_burst_of_the_most_urgent(self):
        """Load pattern `burst` of the most urgent kind starves no other kind.

        Each kind is served at least a quarter as often as all.
        """
        outcomes = _serve(_load({0: 6, 1: 1, 2: 1}), 4)
        served = sum(
            outcomes.served['priority', priority] for priority in range(3)
        )
        asked = sum(
            outcomes.asked['priority', priority] for priority in range(3)
        )
        shares = [
            outcomes.share(outcomes.served, ('priority', priority))
            for priority in range(3)
        ]
        self.assertTrue(min(shares) > served / asked / 4, shares)
        self.assertEqual(sorted(shares, reverse=True), shares)

    def test_all_kinds_at_once(self):
        """Load pattern `burst` of all kinds at twice the room.

        More urgent kinds are in time more often, and no account or size of
        request is served less than half as often as the others.
        """
        outcomes = _serve(_load({0: 2, 1: 2, 2: 2}), 3)
        in_time = [
            outcomes.share(outcomes.in_time, ('priority', priority))
            for priority in range(3)
        ]
        self.assertEqual(sorted(in_time, reverse=True), in_time)
        self.assertTrue(in_time[0] > 0.95, in_time)
        for name, keys in (('account', 'abcdefgh'), ('work', (0.5, 1.0, 3.0))):
            shares = [
                outcomes.share(outcomes.served, (name, key)) for key in keys
            ]
            self.assertTrue(min(shares) > max(shares) / 2, shares)

    def test_long_prompts_beside_short_ones(self):
        """An account with long prompts gets fewer of them, not more work.

        Both accounts ask for more than their share of the room.
        """
        arrivals = [
            [
                _request(
                    f'{tick}-{account}{number}', tick * 0.05, 0, account, work
                )
                for account, work in (('long', 3.0), ('short', 1.0))
                for number in range(3)
            ]
            for tick in range(200)
        ]
        outcomes = _serve(arrivals, 2)
        long_work = 3 * outcomes.served['account', 'long']
        short_work = outcomes.served['account', 'short']
        self.assertTrue(0.7 < long_work / short_work < 1.4, outcomes.served)

    def test_callers_that_repeat_at_once(self):
        """Load pattern `retry_abuse`: repeats do not crowd out other accounts.

        One account repeats each request at once, six times as often as others
        ask.
        """
        arrivals = [
            [
                _request(f'{tick}-{account}{number}', tick * 0.05, 0, account)
                for account, count in (('abuser', 6), ('b', 1), ('c', 1))
                for number in range(count)
            ]
            for tick in range(200)
        ]
        outcomes = _serve(arrivals, 3)
        for account in ('b', 'c'):
            key = 'account', account
            self.assertTrue(outcomes.share(outcomes.in_time, key) > 0.95)
