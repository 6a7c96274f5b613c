"""Attempts that run while their request is quarantined."""

import types

import anyio
import testtools

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.gateway import part_quarantine
from nutmegtrail.observability import metrics
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import part_evidence
from tests import simulated_time
from tests.gateway import samples


_BAD_PART = part_evidence.part_key('drafts', 'bad')
_GOOD_PART = part_evidence.part_key('drafts', 'good')


class _Detector:
    """Detector that records the interruptions."""

    def __init__(self):
        """Initialize the detector."""
        self.interrupted = []
        self.interrupted_parts = []

    def record_interruption(self, request_id, _, upstream, part_keys):
        """Record an interruption."""
        self.interrupted.append(request_id)
        self.interrupted_parts += part_keys


def _job(name, fingerprint, part_keys=(), has_settled=False, **changes):
    """Return the fields of a job that the guard reads."""
    delivery = attempts.Delivery(samples.route())._replace(**changes)
    return types.SimpleNamespace(
        caller=types.SimpleNamespace(request_id=name),
        fingerprint=fingerprint,
        part_keys=part_keys,
        has_settled=has_settled,
        begun_at_seconds=None,
        dispatched_at_seconds=0,
        delivery=delivery,
    )


class CrashGuardTest(testtools.TestCase):
    """A guard with a quarantine and a recording detector."""

    def _run(self, *jobs, success_count=0):
        """Run attempts of jobs until `bad` is quarantined.

        Return the names of those that were cancelled.
        """
        self.detector = _Detector()
        quarantine = crash_quarantine.CrashQuarantine(None, metrics.Metrics())
        parts = part_quarantine.PartQuarantine(None, metrics.Metrics())
        self.guard = crash_guard.CrashGuard(self.detector, quarantine, parts)
        cancelled = []

        async def _attempt(job):
            with self.guard.watch(job, samples.upstream('a')) as attempt:
                await anyio.sleep(9)
                attempt.is_answered = True
            if attempt.is_cancelled:
                cancelled.append(job.caller.request_id)

        async def _main():
            async with anyio.create_task_group() as tasks:
                for job in jobs:
                    tasks.start_soon(_attempt, job)
                await anyio.sleep(1)
                for _ in range(success_count):
                    parts.record_success((_GOOD_PART,), anyio.current_time())
                for number in range(const.CRASH_LIMIT):
                    quarantine.mark('bad', f'c{number}', 'a')
                    parts.mark((_BAD_PART,), f'c{number}', 'a', 1)
            self.outcomes = [self.guard.refusal(job) for job in jobs]

        simulated_time.run(_main)
        return cancelled

    def test_unanswered_attempts_are_cancelled(self):
        """Copies that wait at upstreams are taken back, others go on.

        A stream that has sent events runs without a crash.
        """
        cancelled = self._run(
            _job('copy', 'bad'),
            _job('stream', 'bad', has_sent_events=True),
            _job('other', 'good'),
        )
        self.assertEqual(['copy'], cancelled)
        self.assertEqual(['copy'], self.detector.interrupted)

    def test_refusals_are_true(self):
        """What may have run is not called unrun, and others are not refused."""
        self._run(
            _job('unsent', 'bad'),
            _job('sent', 'bad', may_have_run=True),
            _job('other', 'good'),
        )
        self.assertEqual(
            [
                attempts.GiveUp(attempts.Outcome.QUARANTINED),
                attempts.GiveUp(attempts.Outcome.UNKNOWN),
                None,
            ],
            self.outcomes,
        )

    def test_part_is_refused(self):
        """Requests with a bad part of the prompt are refused, others not."""
        self._run(
            _job('bad', 'new', (_GOOD_PART, _BAD_PART)),
            _job('good', 'other', (_GOOD_PART,)),
            success_count=retry_const.EXPERIENCED_SUCCESS_COUNT,
        )
        self.assertEqual(
            [attempts.GiveUp(attempts.Outcome.QUARANTINED), None],
            self.outcomes,
        )

    def test_attempts_with_a_bad_part_are_cancelled(self):
        """They are taken back once an entry is sure of the part."""
        cancelled = self._run(
            _job('bad', 'new', (_GOOD_PART, _BAD_PART)),
            _job('good', 'other', (_GOOD_PART,)),
            success_count=retry_const.EXPERIENCED_SUCCESS_COUNT,
        )
        self.assertEqual(['bad'], cancelled)

    def test_parts_of_a_stream_that_went_on(self):
        """A stream that was begun before its upstream crashed has no part in it."""
        self._run()

        async def _interrupt():
            for job in (
                _job('begun', 'a', (_GOOD_PART,), has_settled=True),
                _job('new', 'b', (_BAD_PART,)),
            ):
                with self.guard.watch(job, samples.upstream('a')):
                    await anyio.sleep(1)

        simulated_time.run(_interrupt)
        self.assertEqual([_BAD_PART], self.detector.interrupted_parts)
