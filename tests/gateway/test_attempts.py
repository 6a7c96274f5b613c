"""What follows each failure of an attempt, by kind of request."""

import itertools

import testtools

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import models
from tests.gateway import samples

_EVENTS = (
    attempts.NotConnected('u1'),
    attempts.NotRun('u1'),
    attempts.Broken('u1'),
    attempts.Failed('u1'),
)
_MAY_HAVE_RUN = (attempts.Broken, attempts.Failed)
_ONCE = samples.route(models.RouteKind.ONCE, max_upstreams=2, resumable=False)


def _run(route, events):
    """Return the events that were reached and the last decision."""
    delivery = attempts.Delivery(route)
    reached = []
    for event in events:
        reached.append(event)
        decision = attempts.decide(event, delivery)
        delivery = decision.delivery
        if isinstance(decision.action, attempts.GiveUp):
            break
    return reached, decision


class AttemptsTest(testtools.TestCase):
    """All sequences of three failures."""

    def test_once_is_never_repeated_after_it_may_have_run(self):
        """A non-idempotent request ends at the first doubtful failure."""
        for events in itertools.product(_EVENTS, repeat=3):
            reached, decision = _run(_ONCE, events)
            doubtful = [
                event for event in reached if isinstance(event, _MAY_HAVE_RUN)
            ]
            self.assertTrue(len(doubtful) <= 1, events)
            if doubtful:
                self.assertIs(doubtful[0], reached[-1])
                self.assertIsInstance(decision.action, attempts.GiveUp)

    def test_not_run_is_true(self):
        """The outcome is `not run` only without a doubtful failure."""
        for kind in models.RouteKind:
            route = samples.route(kind)
            for events in itertools.product(_EVENTS, repeat=3):
                reached, decision = _run(route, events)
                ran = any(isinstance(one, _MAY_HAVE_RUN) for one in reached)
                action = decision.action
                if isinstance(action, attempts.GiveUp) and ran:
                    self.assertIsNot(
                        attempts.Outcome.NOT_RUN,
                        action.outcome,
                    )

    def test_upstreams_are_limited(self):
        """A request reaches at most the route's number of upstreams."""
        for events in itertools.product(_EVENTS[1:], repeat=3):
            reached, _ = _run(samples.route(), events)
            self.assertTrue(len(reached) <= 2, events)

    def test_unreachable_upstreams_do_not_count(self):
        """Connections that fail are tried elsewhere without the budget."""
        _, decision = _run(_ONCE, _EVENTS[:1])
        self.assertEqual(attempts.Repeat(from_budget=False), decision.action)
        reached, _ = _run(_ONCE, _EVENTS[:1] * 9)
        self.assertEqual(4, len(reached))

    def test_failure_of_a_non_idempotent_request_is_passed_on(self):
        """The upstream's own failure is the answer."""
        _, decision = _run(_ONCE, _EVENTS[3:])
        self.assertEqual(
            attempts.GiveUp(attempts.Outcome.PASS_ON),
            decision.action,
        )
