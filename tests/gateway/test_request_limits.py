"""Limits of upstreams that several entries keep together."""

import heapq
import itertools
import math
import random

import pyrsistent
import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import request_limits

_INCARNATION = ('u1', 1)
_NO_LIMIT = request_limits.UNLIMITED


def _statement(rate, asked=0.0, received=0.0, **fields):
    """Return a statement of an upstream."""
    return request_limits.Statement(rate, asked, received, **fields)


def _record(limits, statement, now=None):
    """Return the limits after a statement that was received now."""
    if now is None:
        now = statement.received_at_seconds
    return request_limits.record_statement(
        limits, _INCARNATION, statement, request_limits.Sharing(), now
    )


def _named(*statements):
    """Return the named limit after statements in the order of arrival."""
    limits = pyrsistent.pmap()
    for statement in statements:
        limits = _record(limits, statement)
    limit = limits.get(_INCARNATION)
    return None if limit is None else limit.statement.requests_per_second


class StatementTest(testtools.TestCase):
    """Which of several statements is in force."""

    def test_later_ones(self):
        """A response that was asked for later replaces an earlier one."""
        for rate in (0.5, 9, _NO_LIMIT):
            self.assertEqual(
                rate, _named(_statement(2, 0, 1), _statement(rate, 1, 2))
            )

    def test_out_of_order(self):
        """Of responses that may have overtaken each other the lower counts.

        Guards against a limit that ends with the late response to a request
        from before the limit.
        """
        self.assertEqual(
            2, _named(_statement(2, 0, 1), _statement(_NO_LIMIT, 0.9, 2))
        )
        self.assertEqual(2, _named(_statement(2, 0, 1), _statement(9, 0.9, 2)))
        self.assertEqual(1, _named(_statement(2, 0, 1), _statement(1, 0, 2)))
        self.assertEqual(
            9,
            _named(
                _statement(2, 0, 1),
                _statement(9, 0.9, 2),
                _statement(9, 1.1, 2.2),
            ),
        )

    def test_outdated(self):
        """A response that was received before the other request is older.

        Other entries may tell of it late.
        """
        limits = _record(pyrsistent.pmap(), _statement(5, 3, 4))
        limits = _record(limits, _statement(1, 1, 2), now=5)
        limit = limits[_INCARNATION]
        self.assertEqual(5, limit.statement.requests_per_second)

    def test_no_limit(self):
        """Upstreams that never named a limit need no state."""
        self.assertIsNone(_named(_statement(_NO_LIMIT, 0, 1)))

    def test_control_api(self):
        """It stays known that the control API names the current limit."""
        limits = _record(
            pyrsistent.pmap(), _statement(2, 0, 1, is_by_control_api=True)
        )
        limits = _record(limits, _statement(2, 1, 2))
        self.assertTrue(limits[_INCARNATION].statement.is_by_control_api)

    def test_lower_limit_that_overlaps(self):
        """A lower limit in a response does not end what the API names.

        It is not known which of the two responses is later.
        """
        limits = _record(
            pyrsistent.pmap(), _statement(2, 0, 2, is_by_control_api=True)
        )
        limits = _record(limits, _statement(1, 1, 3))
        statement = limits[_INCARNATION].statement
        self.assertEqual(1, statement.requests_per_second)
        self.assertTrue(statement.is_by_control_api)


class EndOfLimitTest(testtools.TestCase):
    """Growth of the rate after a limit has ended."""

    def test_rate_doubles(self):
        """Pattern `no herd`: an upstream that recovers is not flooded."""
        limits = _record(pyrsistent.pmap(), _statement(2, 0, 1))
        limits = _record(limits, _statement(_NO_LIMIT, 1, 2))
        limit = limits[_INCARNATION]
        rates = [limit.rate(2 + number / 2) for number in range(9)]
        self.assertEqual([2, 4, 8, 16, 32, 64, 128, 256, _NO_LIMIT], rates)
        limits = _record(limits, _statement(_NO_LIMIT, 3, 4))
        limits = _record(limits, _statement(_NO_LIMIT, 0.5, 5))
        self.assertEqual(_NO_LIMIT, limits[_INCARNATION].rate(6))
        self.assertTrue(
            request_limits.is_forgettable(
                limit, is_registered=True, now_seconds=6
            )
        )

    def test_limit_of_zero(self):
        """An upstream that took nothing gets one request a second at first."""
        limits = _record(pyrsistent.pmap(), _statement(0, 0, 1))
        limits = _record(limits, _statement(_NO_LIMIT, 1, 2))
        self.assertEqual(1, limits[_INCARNATION].rate(2))

    def test_removed_upstream(self):
        """The limit of an upstream that is gone is forgotten in the end."""
        limit = request_limits.RequestLimit(_statement(2, 0, 1), 1)
        later = 1 + const.REMOVAL_MEMORY_SECONDS
        for is_registered in (True, False):
            self.assertIs(
                not is_registered,
                request_limits.is_forgettable(
                    limit, is_registered=is_registered, now_seconds=later
                ),
            )


class AvailabilityTest(testtools.TestCase):
    """When an entry may send the next request."""

    def _limit(self, rate, **fields):
        """Return a limit that became known at time 0."""
        return request_limits.RequestLimit(_statement(rate), 0, **fields)

    def test_low_limits(self):
        """A limit under one a second leaves more than a second between."""
        limit = self._limit(0.2)
        sharing = request_limits.Sharing()
        self.assertEqual(5, request_limits.available_from(limit, sharing, 0))
        limit = request_limits.take(limit, sharing, 5)
        self.assertEqual(10, request_limits.available_from(limit, sharing, 5))

    def test_lost_touch(self):
        """An entry that does not hear all others keeps to its own part."""
        sharing = request_limits.Sharing(
            'b', ('a', 'b', 'c', 'd'), is_complete=False
        )
        limit = self._limit(2)
        self.assertEqual(2.5, request_limits.available_from(limit, sharing, 0))
        limit = request_limits.take(limit, sharing, 2.5)
        self.assertEqual(4.5, request_limits.available_from(limit, sharing, 3))
        self.assertEqual(0.5, request_limits.expected_rate(limit, sharing, 0))

    def test_isolated(self):
        """An entry that the others have dropped sends nothing."""
        sharing = request_limits.Sharing(
            'a', ('a', 'b'), is_complete=False, is_isolated=True
        )
        self.assertEqual(
            math.inf,
            request_limits.available_from(self._limit(2), sharing, 9),
        )

    def test_limit_of_zero(self):
        """An upstream that takes nothing is tried once in a long while.

        It is not if its control API tells of the end.
        """
        sharing = request_limits.Sharing('b', ('a', 'b'))
        limit = self._limit(0)
        self.assertEqual(15, request_limits.available_from(limit, sharing, 9))
        limit = request_limits.take(limit, sharing, 15)
        self.assertEqual(30, request_limits.available_from(limit, sharing, 16))
        told = limit._replace(statement=_statement(0, is_by_control_api=True))
        self.assertEqual(
            math.inf, request_limits.available_from(told, sharing, 99)
        )

    def test_token_that_was_not_used(self):
        """A request that was not sent costs nothing."""
        sharing = request_limits.Sharing()
        limit = self._limit(1, tokens=1)
        taken = request_limits.take(limit, sharing, 0)
        returned = request_limits.give_back(taken, sharing, 0)
        self.assertEqual((1, 0), (returned.tokens, returned.sent))

    def test_expected_rate(self):
        """Entries that have sent lately share what one can expect."""
        members = ('a', 'b', 'c')
        sharing = request_limits.Sharing('a', members)
        limit = self._limit(6)
        self.assertEqual(6, request_limits.expected_rate(limit, sharing, 0))
        for name in ('b', 'c'):
            limit = request_limits.record_peer_count(
                limit, name, name, 1, sharing, 0
            )
        self.assertEqual(2, request_limits.expected_rate(limit, sharing, 1))
        self.assertEqual(6, request_limits.expected_rate(limit, sharing, 9))


class _Group:
    """Entries that always have requests, and datagrams between them.

    `sent_at` has the times of all requests. Links in `cut` lose datagrams.
    """

    def __init__(self, rate, entries, generator, loss=0.0):
        """Initialize entries that learned of a limit at time 0."""
        self.names = tuple(f'e{number}' for number in range(entries))
        self.limits = {
            name: request_limits.RequestLimit(_statement(rate), 0)
            for name in self.names
        }
        self.wanting = set(self.names)
        self.incomplete = set()
        self.sent_at = []
        self.lost = set()
        self._loss = loss
        self._generator = generator
        self._arrivals = []
        self._number = itertools.count()
        # Entries dispatch at the same interval, at different times.
        self._phases = {name: generator.random() * 0.05 for name in self.names}

    def sharing(self, name):
        """Return how an entry shares the limit."""
        return request_limits.Sharing(
            name, self.names, is_complete=name not in self.incomplete
        )

    def run(self, began_at, seconds):
        """Let time pass."""
        ticks = [
            (began_at + self._phases[name] + 0.05 * number, name)
            for name in self.names
            for number in range(int(seconds / 0.05))
        ]
        for now, name in sorted(ticks):
            while self._arrivals and self._arrivals[0][0] <= now:
                at, _, peer, receiver, sent = heapq.heappop(self._arrivals)
                self.limits[receiver] = request_limits.record_peer_count(
                    self.limits[receiver],
                    peer,
                    peer,
                    sent,
                    self.sharing(receiver),
                    at,
                )
            if name in self.wanting:
                self._try(name, now)

    def _try(self, name, now):
        """Send all requests that the entry may."""
        sharing = self.sharing(name)
        while now >= request_limits.available_from(
            self.limits[name], sharing, now
        ):
            self._send(name, now)

    def _send(self, name, now):
        """Send a request and tell the other entries."""
        limit = request_limits.take(self.limits[name], self.sharing(name), now)
        self.limits[name] = limit
        self.sent_at.append(now)
        for receiver in self.names:
            is_lost = (name, receiver) in self.lost
            if receiver == name or is_lost:
                continue
            if self._generator.random() < self._loss:
                continue
            delay = self._generator.uniform(0.001, 0.006)
            heapq.heappush(
                self._arrivals,
                (now + delay, next(self._number), name, receiver, limit.sent),
            )


def _most(times, seconds):
    """Return the most requests in any window of a length."""
    return max(
        sum(start <= at < start + seconds for at in times) for start in times
    )


class GroupTest(testtools.TestCase):
    """Entries together keep to a limit and use it."""

    def _assert_kept(self, group, rate, extra=1):
        """Check windows of several lengths."""
        for seconds in (1, 4, 10):
            most = _most(group.sent_at, seconds)
            self.assertTrue(
                most <= rate * seconds * 1.001 + extra, (rate, seconds, most)
            )

    # Guards against entries that each keep to the whole limit alone.
    def test_any_number_of_entries(self):
        """The sum over all entries keeps to the limit and uses it."""
        for rate, entries in itertools.product(
            (0.4, 1, 2.5, 8, 30), (1, 2, 4, 8)
        ):
            group = _Group(rate, entries, random.Random(entries))
            group.run(0, 40)
            # Tokens of two dispatch intervals are kept.
            self._assert_kept(group, rate, 2 + rate * 0.25)
            used = len(group.sent_at) / (rate * 40)
            self.assertTrue(used > 0.85, (rate, entries, used))

    def test_one_entry_gets_all(self):
        """The whole limit is used if all requests come at one entry."""
        group = _Group(2, 4, random.Random(1))
        group.wanting = {'e2'}
        group.run(0, 40)
        self._assert_kept(group, 2)
        self.assertTrue(len(group.sent_at) >= 76, len(group.sent_at))

    def test_turns(self):
        """Entries that all want the tokens take turns."""
        group = _Group(4, 4, random.Random(1))
        group.run(0, 40)
        sent = [group.limits[name].sent for name in group.names]
        self.assertTrue(max(sent) - min(sent) <= 4, sent)

    def test_lost_datagrams(self):
        """Losses between entries do not add up, since they tell counts."""
        group = _Group(2, 4, random.Random(3), loss=0.2)
        group.run(0, 60)
        self._assert_kept(group, 2, extra=4)

    def test_entries_cut_from_each_other(self):
        """Entries that hear nobody send no more than the limit together."""
        group = _Group(2, 4, random.Random(4))
        group.run(0, 10)
        group.lost = set(itertools.permutations(group.names, 2))
        group.incomplete = set(group.names)
        group.run(10, 20)
        self._assert_kept(group, 2, extra=2)
        group.lost = set()
        group.incomplete = set()
        group.run(30, 20)
        self._assert_kept(group, 2, extra=2)

    def test_one_cut(self):
        """Two entries do not hear each other, and a third one hears both."""
        group = _Group(3, 3, random.Random(5))
        group.lost = {('e0', 'e1'), ('e1', 'e0')}
        group.incomplete = {'e0', 'e1'}
        group.run(0, 40)
        self._assert_kept(group, 3, extra=3)
        used = len(group.sent_at) / 120
        self.assertTrue(used > 0.85, used)
