"""Tests of what an entry knows of how long upstreams stay cold."""

import itertools

import pyrsistent
import testtools

from nutmegtrail.warmup import sightings

_DEFAULT_SECONDS = 3.0


def _registered(revision, cold_seconds, started_at_ms=1):
    """Return the event of a registration of one upstream."""
    return sightings.Registered(
        'u1', 'drafts', started_at_ms, revision, cold_seconds
    )


def _cold_until(*events_at):
    """Return the end of the cold time after events at given times."""
    known = pyrsistent.pmap()
    for at_seconds, event in events_at:
        known = sightings.decide(event, known, at_seconds)
    return known['u1'].cold_until(_DEFAULT_SECONDS)


class SightingsTest(testtools.TestCase):
    """Cold time of one upstream."""

    def test_registration(self):
        """The cold time counts from the first read of a registration."""
        cases = (
            (((10, _registered(5, 2)),), 12),
            (((10, _registered(5, 0)),), 10),
            (((10, _registered(5, None)),), 10 + _DEFAULT_SECONDS),
            # The same registration is read again.
            (((10, _registered(5, 2)), (11, _registered(5, 2))), 12),
            # It becomes cold again, and warm early.
            (((10, _registered(5, 0)), (20, _registered(9, 2))), 22),
            (((10, _registered(5, 3)), (11, _registered(9, 0))), 11),
            # A registration that no longer says it changes nothing.
            (((10, _registered(5, 2)), (11, _registered(9, None))), 12),
        )
        for events_at, cold_until in cases:
            self.assertEqual(cold_until, _cold_until(*events_at), events_at)

    def test_restart_in_any_order(self):
        """What was read or told of an incarnation that ended is ignored."""
        ended = _registered(5, 0)
        # An earlier copy of the store has later revisions.
        copied = _registered(20, 0)
        restarted = _registered(9, 3, started_at_ms=2)
        for order in itertools.permutations((ended, restarted, copied)):
            events_at = tuple(enumerate(order, start=10))
            first_at = min(at for at, event in events_at if event is restarted)
            self.assertEqual(first_at + 3, _cold_until(*events_at), order)

    def test_told_by_other_entries(self):
        """Who tells a registration late or again does not extend it."""
        read = _registered(9, 3)
        told = _registered(9, 2.9)
        self.assertEqual(13, _cold_until((10, read), (10.5, told)))
        self.assertEqual(12.9, _cold_until((10, told), (10.2, read)))

    def test_response(self):
        """The longer of what responses and the registration say counts."""
        said = sightings.Responded('u1', 'drafts', 1, 2)
        ended = said._replace(cold_seconds=0)
        warm = _registered(5, 0)
        self.assertEqual(13, _cold_until((10, warm), (11, said)))
        self.assertEqual(13, _cold_until((11, said), (12, warm)))
        self.assertEqual(12, _cold_until((10, warm), (11, said), (12, ended)))

    def test_forgotten(self):
        """Upstreams that are gone are forgotten."""
        known = sightings.decide(_registered(5, 2), pyrsistent.pmap(), 0)
        self.assertEqual(known, sightings.forget(known, {'u1'}))
        self.assertEqual({}, sightings.forget(known, {'u2'}))
