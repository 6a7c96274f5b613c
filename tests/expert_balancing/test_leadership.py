"""Leader election with lost responses and rejected fences."""

import testtools

from nutmegtrail.expert_balancing import leadership

_ACQUIRE = leadership.NextAction.ACQUIRE


def _decide(*events):
    """Return the leadership after the events."""
    updated = leadership.Leadership('me', lease_id=4)
    for event in events:
        updated = leadership.decide(event, updated)
    return updated


class LeadershipTest(testtools.TestCase):
    """Events of the key, the lease and the engines."""

    def test_unknown_key_is_not_acquired(self):
        """An instance does not try to lead before it has read the key."""
        self.assertIs(
            leadership.NextAction.WAIT, leadership.next_action(_decide())
        )

    def test_free_key_is_acquired(self):
        """A key that does not exist can be acquired."""
        updated = _decide(leadership.KeyGone())
        self.assertIs(_ACQUIRE, leadership.next_action(updated))

    def test_lost_answer_is_recognised(self):
        """The own name in the key means leadership, even without a response."""
        updated = _decide(leadership.KeyGone(), leadership.KeyShown('me', 9))
        self.assertEqual(9, updated.fence)
        self.assertIs(
            leadership.NextAction.RENEW, leadership.next_action(updated)
        )

    def test_other_leader(self):
        """Another name in the key ends the leadership."""
        updated = _decide(
            leadership.KeyShown('me', 9),
            leadership.KeyShown('other', 11),
        )
        self.assertIsNone(updated.fence)
        self.assertIs(
            leadership.NextAction.WAIT, leadership.next_action(updated)
        )

    def test_fenced_off(self):
        """A rejected fence is not used again, although the key is unchanged."""
        updated = _decide(
            leadership.KeyShown('me', 9),
            leadership.FencedOff(),
            leadership.KeyShown('me', 9),
        )
        self.assertIsNone(updated.fence)

    def test_own_name_without_a_lease(self):
        """A key with the own name and no lease is written again.

        An earlier copy of the store shows it, or a write that was carried out
        late. Nobody else may write over it.
        """
        updated = _decide(
            leadership.KeyShown('me', 9), leadership.LeaseLapsed()
        )
        self.assertIsNone(updated.fence)
        self.assertEqual(9, updated.own_revision)
        self.assertIs(_ACQUIRE, leadership.next_action(updated))
        updated = leadership.decide(leadership.KeyShown('other', 11), updated)
        self.assertIs(
            leadership.NextAction.WAIT, leadership.next_action(updated)
        )
        updated = leadership.decide(leadership.KeyGone(), updated)
        self.assertEqual(0, updated.own_revision)
