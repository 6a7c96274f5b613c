"""Tests of the evidence against prompt parts that may crash upstreams."""

import hypothesis
import testtools
from hypothesis import strategies

from nutmegtrail.retries import const
from nutmegtrail.retries import part_evidence

_DETERMINISTIC = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
_CRASHES = tuple(f'c{number}' for number in range(const.PART_CRASH_LIMIT))


def _key(part, service='drafts'):
    """Return the key of a part."""
    return part_evidence.part_key(service, part)


def _keys(parts):
    """Return the keys of parts that are named by single letters."""
    return tuple(map(_key, parts))


class PartEvidenceTest(testtools.TestCase):
    """Marks and successes at one entry."""

    def setUp(self):
        """Start without evidence."""
        super().setUp()
        self.evidence = part_evidence.Evidence()
        self.now = 100.0

    def _crash(self, *marked, names=_CRASHES):
        """Mark the parts of requests with one crash after the other."""
        for crash_id in names:
            for parts in marked:
                for key in _keys(parts):
                    self.evidence = part_evidence.mark(
                        self.evidence, key, crash_id, self.now
                    )

    def _succeed(self, *requests, count=1):
        """Record successes with these parts, begun a second later."""
        self.now += 1
        for _ in range(count):
            for parts in requests:
                self.evidence = part_evidence.record_success(
                    self.evidence, _keys(parts), self.now
                )
        for part in tuple(self.evidence.marks.marks_by_fingerprint):
            for crash_id in part_evidence.refuted_marks(self.evidence, part):
                self.evidence = part_evidence.unmark(
                    self.evidence, part, crash_id
                )

    def _verdict(self, parts):
        """Return the verdict on a request with these parts."""
        verdicts = [
            part_evidence.judge(self.evidence, key, _keys(parts), self.now)
            for key in _keys(parts)
        ]
        return next(filter(None, verdicts), None)

    def _is_refused(self, parts):
        """Return whether a request with these parts is refused."""
        verdict = self._verdict(parts)
        return verdict is not None and verdict.expires_at_seconds > self.now

    def test_new_part(self):
        """A part that never succeeded is refused after its crashes."""
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('px', names=_CRASHES[:-1])
        self.assertFalse(self._is_refused('px'))
        self._crash('px')
        self.assertTrue(self._verdict('qx').is_proven)
        self.assertFalse(self._is_refused('p'))

    def test_popular_part_at_each_crash(self):
        """A part that most requests share is not blamed beside a new one."""
        self._succeed('p', 'pm', count=const.EXPERIENCED_SUCCESS_COUNT)
        for number in range(9):
            self._crash('px', 'pm', names=(f'n{number}',))
        self.assertTrue(self._is_refused('px'))
        self.assertFalse(self._is_refused('pm'))

    def test_new_part_beside_another_new_one(self):
        """Another part at each crash does not excuse a part for ever."""
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        for number in range(const.CERTAIN_CRASH_COUNT):
            self.assertFalse(self._is_refused('px'))
            self._crash('px', 'pm', names=(f'n{number}',))
        self.assertTrue(self._is_refused('px'))
        self.assertFalse(self._is_refused('p'))

    def test_many_crashes_at_once(self):
        """Upstreams that crash for another reason blame no popular part."""
        self._succeed('p', 'q', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('p', names=[f'n{number}' for number in range(30)])
        self.assertFalse(self._is_refused('p'))
        self._succeed('p')
        self._succeed('q', count=const.CONTRAST_SUCCESS_COUNT)
        self.assertFalse(self._is_refused('p'))

    def test_new_part_after_many_crashes_at_once(self):
        """Marks of a popular part from other crashes excuse no new part."""
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('p', names=[f'n{number}' for number in range(9)])
        self._crash('px')
        self.assertTrue(self._is_refused('px'))
        self.assertFalse(self._is_refused('p'))

    def test_part_that_succeeded_before(self):
        """A known part is refused once only requests without it succeed."""
        self._succeed('px', 'p', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('px')
        self.assertFalse(self._is_refused('px'))
        self._succeed('p', count=const.CONTRAST_SUCCESS_COUNT)
        self.assertTrue(self._verdict('x').is_proven)
        self.assertFalse(self._is_refused('p'))

    def test_successes_begun_before_the_crashes(self):
        """They are no contrast to a part that they have themselves.

        A part that all requests share was refused when many of them ended
        well after crashes that they had been begun before.
        """
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        begun_at = self.now
        self.now += 1
        self._crash('px')
        for _ in range(2 * const.CONTRAST_SUCCESS_COUNT):
            self.evidence = part_evidence.record_success(
                self.evidence, _keys('p'), begun_at
            )
        self.assertFalse(self._is_refused('p'))
        self.assertTrue(self._is_refused('px'))

    def test_successes_of_another_service(self):
        """They say nothing about the parts of this one."""
        self._succeed('p')
        self._crash('p')
        for _ in range(2 * const.EXPERIENCED_SUCCESS_COUNT):
            self.evidence = part_evidence.record_success(
                self.evidence, (_key('p', 'other'),), self.now
            )
        self.assertFalse(self._is_refused('p'))

    def test_entry_without_experience(self):
        """It refuses requests with all suspects, and for a short time."""
        self._crash('px')
        self.assertTrue(self._is_refused('px'))
        self.assertFalse(self._verdict('px').is_proven)
        for parts in ('p', 'x', 'qx'):
            self.assertFalse(self._is_refused(parts), parts)
        self.now += const.PROVISIONAL_HOLD_SECONDS + 1
        self.assertFalse(self._is_refused('px'))
        self._crash('px', names=('c9',))
        self.now += const.PROVISIONAL_HOLD_SECONDS + 1
        self.assertTrue(self._is_refused('px'))

    def test_success_at_another_entry(self):
        """It counts like an own one that was begun before the crashes."""
        self.evidence = part_evidence.record_earlier_success(
            self.evidence, _key('p')
        )
        self._crash('pm', 'pn', names=[f'n{number}' for number in range(9)])
        self.assertFalse(self._is_refused('pm'))
        self._crash('px')
        self.assertTrue(self._is_refused('qx'))
        self.assertFalse(self._is_refused('p'))
        self._succeed('q', count=const.CONTRAST_SUCCESS_COUNT)
        self.assertTrue(self._verdict('p').is_proven)
        self._succeed('p')
        self.assertFalse(self._is_refused('p'))

    def test_told_success_is_no_later_than_an_own_one(self):
        """It takes no own success away."""
        self._succeed('p')
        told = part_evidence.record_earlier_success(self.evidence, _key('p'))
        self.assertEqual(self.evidence, told)

    def test_suspects_are_told_apart(self):
        """A suspect that succeeds leaves the other one as proven."""
        self._succeed('r', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('px')
        self.assertFalse(self._verdict('px').is_proven)
        self._succeed('p')
        self.assertTrue(self._verdict('qx').is_proven)

    def test_mark_after_a_success(self):
        """A crash that is known late does not blame a part that succeeded since."""
        interrupted_at = self.now
        self._succeed('p')
        evidence = part_evidence.mark(
            self.evidence, _key('p'), 'c0', interrupted_at
        )
        self.assertEqual(self.evidence, evidence)

    def test_expiry(self):
        """Marks and the counts beside them are forgotten."""
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('px')
        self.now += const.CRASH_MARK_TTL_SECONDS + 1
        self.assertFalse(self._is_refused('px'))
        self.evidence = part_evidence.remove_expired(self.evidence, self.now)
        self.assertEqual(0, len(self.evidence.marks.marks_by_fingerprint))
        self.assertEqual(0, len(self.evidence.count_at_mark_by_part))

    def test_bounded_memory(self):
        """Many parts do not push out one with many crashes."""
        self._succeed('p', count=const.EXPERIENCED_SUCCESS_COUNT)
        self._crash('x')
        for number in range(const.KNOWN_PARTS_LIMIT + 9):
            self.now += 0.001
            key = _key(f'm{number}')
            self.evidence = part_evidence.mark(
                self.evidence, key, f'm{number}', self.now
            )
            self.evidence = part_evidence.record_success(
                self.evidence, (_key(f's{number}'),), self.now
            )
        self.assertTrue(self._is_refused('x'))
        for records, limit in (
            (self.evidence.succeeded_at_by_part, const.KNOWN_PARTS_LIMIT),
            (
                self.evidence.marks.marks_by_fingerprint,
                const.MARKED_REQUESTS_LIMIT,
            ),
            (
                self.evidence.count_at_mark_by_part,
                2 * const.MARKED_REQUESTS_LIMIT,
            ),
        ):
            self.assertTrue(len(records) <= limit, len(records))

    @_DETERMINISTIC
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('crash', 'success')),
                strategies.sampled_from(('p', 'pm', 'pn', 'q', 'qm', 'x')),
            ),
            max_size=60,
        )
    )
    def test_successful_requests_are_served(self, steps):
        """Whatever happened before, a request that succeeded since is not refused."""
        self.evidence = part_evidence.Evidence()
        for number, (step, parts) in enumerate(steps):
            self.now += 1
            if step == 'crash':
                self._crash(parts, names=(f'n{number}',))
            else:
                self._succeed(parts)
                self.assertFalse(self._is_refused(parts), steps[:number])
