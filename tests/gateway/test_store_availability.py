"""Outages of the store, told from failed calls and from silence."""

import testtools

from nutmegtrail.gateway import const
from nutmegtrail.gateway import store_availability

_SILENCE = const.STORE_SILENCE_SECONDS
_RESPONDED = store_availability.Responded()


def _decide(*timed_events):
    """Return the availability after events at the given times."""
    availability = store_availability.Availability()
    for now, event in timed_events:
        availability = store_availability.decide(event, availability, now)
    return availability


class StoreAvailabilityTest(testtools.TestCase):
    """Responses and failed checks in any order."""

    def test_failed_check(self):
        """An outage begins with a failed check and ends with a response."""
        failed = store_availability.CheckFailed(1.0, 1.0)
        begun = _decide((0, _RESPONDED), (1.5, failed))
        self.assertTrue(begun.is_unavailable)
        again = _decide((0, _RESPONDED), (1.5, failed), (2.5, failed))
        self.assertEqual(1, again.outages)
        ended = _decide((0, _RESPONDED), (1.5, failed), (9, _RESPONDED))
        self.assertEqual((False, 1), ended[:2])

    def test_length_of_an_outage(self):
        """An outage begins with the first failed call."""
        began = store_availability.CheckFailed(1.0, 1.0)
        earlier = store_availability.CheckFailed(2.0, 0.5)
        ended = _decide(
            (0, _RESPONDED), (1, began), (2, earlier), (4.5, _RESPONDED)
        )
        self.assertEqual(4, ended.outage_seconds)
        again = store_availability.CheckFailed(8.0, 8.0)
        later = store_availability.decide(
            _RESPONDED, store_availability.decide(again, ended, 8), 8.5
        )
        self.assertEqual(0.5, later.outage_seconds)
        silent = _decide((0, _RESPONDED), (_SILENCE, _RESPONDED))
        self.assertEqual(_SILENCE, silent.outage_seconds)

    # Guards against live upstreams that are left out: a watch was cut late in an
    # outage in which the store had been silent.
    def test_length_of_a_silent_outage(self):
        """A store that is silent may be away since its last response."""
        ended = _decide(
            (1, _RESPONDED),
            (4, store_availability.CheckFailed(2.5, None)),
            (5, _RESPONDED),
        )
        self.assertEqual(4, ended.outage_seconds)

    # Guards against a lost connection that is taken for a lost store.
    def test_response_to_another_call(self):
        """A check that fails is no outage if another call was answered."""
        for responded_at in (1.1, 1.2):
            availability = _decide(
                (responded_at, _RESPONDED),
                (1.5, store_availability.CheckFailed(1.0, 1.0)),
            )
            self.assertEqual((False, 0), availability[:2])

    # Guards against registrations that expire in an outage which no call
    # noticed, since the watches were answered after it.
    def test_silence(self):
        """A store that was silent for long has been unavailable."""
        short = _decide((0, _RESPONDED), (_SILENCE - 0.01, _RESPONDED))
        self.assertEqual((False, 0), short[:2])
        long = _decide((0, _RESPONDED), (_SILENCE, _RESPONDED))
        self.assertEqual((False, 1), long[:2])

    def test_first_response(self):
        """The time before the first response is no silence."""
        self.assertEqual((False, 0), _decide((99, _RESPONDED))[:2])
