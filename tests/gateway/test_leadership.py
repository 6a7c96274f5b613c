"""One leader at a time; lost answers and fences are recognised."""

import testtools

from nutmegtrail.gateway import leadership

_ACQUIRE = leadership.Wish.ACQUIRE


def _decide(*events):
    """Return the leadership after events."""
    held = leadership.Leadership('me', lease_id=4)
    for event in events:
        held = leadership.decide(event, held)
    return held


class LeadershipTest(testtools.TestCase):
    """Events of the key, the lease and the engines."""

    def test_unknown_key_is_not_acquired(self):
        """Before the store was read nobody tries to lead."""
        self.assertIs(leadership.Wish.WAIT, leadership.wish(_decide()))

    def test_free_key_is_acquired(self):
        """A key that does not exist may be written."""
        held = _decide(leadership.KeyGone())
        self.assertIs(_ACQUIRE, leadership.wish(held))

    def test_lost_answer_is_recognised(self):
        """The own name in the key means a lead, whatever the write said."""
        held = _decide(leadership.KeyGone(), leadership.KeyShown('me', 9))
        self.assertEqual(9, held.fence)
        self.assertIs(leadership.Wish.RENEW, leadership.wish(held))

    def test_other_leader(self):
        """Another name ends the lead."""
        held = _decide(
            leadership.KeyShown('me', 9),
            leadership.KeyShown('other', 11),
        )
        self.assertIsNone(held.fence)
        self.assertIs(leadership.Wish.WAIT, leadership.wish(held))

    def test_fenced_off(self):
        """A refused fence is not used again, though the key is unchanged."""
        held = _decide(
            leadership.KeyShown('me', 9),
            leadership.FencedOff(),
            leadership.KeyShown('me', 9),
        )
        self.assertIsNone(held.fence)
