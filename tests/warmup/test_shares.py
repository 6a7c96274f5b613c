"""Tests of the parts of the rate of a cold upstream.

Entries that always have requests send to one upstream that bears 28 requests
per second, or another rate, as often as they may.
"""

import math

import pyrsistent
import testtools

from nutmegtrail.gateway import request_limits
from nutmegtrail.warmup import shares

_COLD_SECONDS = 3.0
_TICK_SECONDS = 0.002
_RATE = 28.0


def _members(count):
    """Return the addresses of entries."""
    return tuple(f'10.0.0.{number}:7340' for number in range(count))


def _cold(rate, since=0.0, upstream_id='u1'):
    """Return an upstream that is cold from a time on."""
    return shares.ColdUpstream(
        upstream_id, 'drafts', 1, since, since + _COLD_SECONDS, rate
    )


def _sent_at(rate, sharings, late_seconds=()):
    """Return when entries send requests in the cold time.

    Entries after the first ones learn late that the upstream is cold.
    """
    late = pyrsistent.pmap(enumerate(late_seconds))
    colds = [
        _cold(rate, late.get(number, 0)) for number in range(len(sharings))
    ]
    sent = []
    for tick in range(int(_COLD_SECONDS / _TICK_SECONDS)):
        now = tick * _TICK_SECONDS
        for number, sharing in enumerate(sharings):
            begun = now >= colds[number].since_seconds
            if begun and now >= shares.available_from(
                colds[number], sharing, now
            ):
                colds[number] = colds[number]._replace(last_sent_at_seconds=now)
                sent.append(now)
    return sent


def _most_in_one_second(sent):
    """Return the most requests within any second."""
    return max(
        sum(begin <= at < begin + 1 for at in sent) for begin in sent or (0,)
    )


class SharesTest(testtools.TestCase):
    """Entries that share a cold upstream."""

    def test_bound(self):
        """In no second the upstream gets more than half above its rate."""
        for rate in (0.5, 1, 3, 10, _RATE, 100):
            for count in (1, 2, 6, 22):
                members = _members(count)
                sharings = [
                    request_limits.Sharing(own, members) for own in members
                ]
                sent = _sent_at(rate, sharings)
                self.assertTrue(
                    _most_in_one_second(sent) <= math.ceil(rate * 1.5),
                    (rate, count),
                )

    def test_whole_rate_is_used(self):
        """The entries together use nearly the whole rate."""
        members = _members(6)
        sharings = [request_limits.Sharing(own, members) for own in members]
        sent = _sent_at(_RATE, sharings)
        self.assertTrue(len(sent) >= 0.9 * _RATE * _COLD_SECONDS, len(sent))

    def test_silent_entries(self):
        """Entries that hear only some others, or none, keep to their part."""
        members = _members(6)
        sharings = [
            request_limits.Sharing(own, members, is_complete=False)
            for own in members
        ]
        late = (0, 0.15, 0.3, 0.8, 1.1, 0.05)
        sent = _sent_at(_RATE, sharings, late)
        self.assertTrue(_most_in_one_second(sent) <= _RATE * 1.5)

    def test_dropped_entry(self):
        """An entry that the others dropped leaves the upstream to them."""
        members = _members(6)
        sharings = [
            request_limits.Sharing(own, members[:-1]) for own in members[:-1]
        ]
        isolated = request_limits.Sharing(
            members[-1], members, is_complete=False, is_isolated=True
        )
        sent = _sent_at(_RATE, [*sharings, isolated])
        self.assertTrue(_most_in_one_second(sent) <= _RATE * 1.5)
        self.assertEqual(
            _COLD_SECONDS, shares.available_from(_cold(_RATE), isolated, 0)
        )
        self.assertEqual(0, shares.expected_rate(_cold(_RATE), isolated, 0))

    def test_no_wave(self):
        """Entries begin in turn; nobody sends as soon as it becomes cold."""
        members = _members(6)
        sharings = [request_limits.Sharing(own, members) for own in members]
        begin = sorted(
            shares.available_from(_cold(_RATE), sharing, 0)
            for sharing in sharings
        )
        for place, at_seconds in enumerate(begin, start=1):
            self.assertAlmostEqual(place / _RATE, at_seconds)

    def test_end(self):
        """Nothing is held back once the cold time is over."""
        cold = _cold(0.1)
        sharing = request_limits.Sharing('a', ('a', 'b'))
        self.assertTrue(shares.available_from(cold, sharing, 0) <= 3)
        for ended in (None, cold):
            self.assertEqual(
                float('-inf'), shares.available_from(ended, sharing, 3)
            )
            self.assertEqual(
                request_limits.UNLIMITED,
                shares.expected_rate(ended, sharing, 3),
            )

    def test_few_requests_per_entry(self):
        """22 entries leave upstreams that bear 5 per second to two of them.

        They are others for other upstreams, so that all entries have some.
        """
        members = _members(22)
        users_by_id = {
            f'u{number}': {
                own
                for own in members
                if shares.share_of(own, members, f'u{number}', 5).place
                is not None
            }
            for number in range(72)
        }
        self.assertEqual({2}, set(map(len, users_by_id.values())))
        self.assertTrue(len(set().union(*users_by_id.values())) >= 18)
