"""Load pattern: more requests than slots, for longer than an objective."""

import testtools

from nutmegtrail.gateway import request_queue


def _waiting(name, account='a', objective=0.4, useless=1.4, priority=1):
    """Return a request that arrived at time 0."""
    return request_queue.Waiting(
        name,
        account,
        priority,
        objective,
        useless,
        frozenset(),
    )


def _line(*arrivals):
    """Return a line with requests in the order of their arrival."""
    line = request_queue.Line()
    for arrival in arrivals:
        line = request_queue.arrive(line, arrival)
    return line


def _order(line, answer_at):
    """Return the names in the order of service."""
    return [one.request_id for one in request_queue.in_order(line, answer_at)]


class WaitingLineTest(testtools.TestCase):
    """Who waits and who is refused."""

    def test_late_requests_stand_back(self):
        """Who can still be on time goes before who can not."""
        line = _line(_waiting('old', objective=0.1), _waiting('new'))
        self.assertEqual(['old', 'new'], _order(line, 0.05))
        self.assertEqual(['new', 'old'], _order(line, 0.2))

    def test_accounts_share(self):
        """A flood of one account does not hold up the others."""
        flood = [_waiting(f'flood-{number}') for number in range(9)]
        line = _line(*flood, _waiting('other', account='b'))
        self.assertEqual(1, _order(line, 0).index('other'))

    def test_priority(self):
        """A lower number goes first."""
        line = _line(_waiting('later'), _waiting('first', priority=0))
        self.assertEqual(['first', 'later'], _order(line, 0))

    def test_refused_at_once(self):
        """What is over the limit is refused on arrival, the last in order."""
        line = _line(*(_waiting(f'r{number}') for number in range(5)))
        cut = request_queue.shorten(line, slots=3, now_seconds=0)
        self.assertEqual(('r3', 'r4'), cut.refused_ids)
        self.assertEqual(['r0', 'r1', 'r2'], _order(cut.line, 0))

    def test_useless_is_refused(self):
        """What can no longer help its caller is refused."""
        line = _line(_waiting('gone', useless=0.5), _waiting('kept'))
        cut = request_queue.shorten(line, slots=9, now_seconds=0.6)
        self.assertEqual(('gone',), cut.refused_ids)
