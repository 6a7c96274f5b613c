"""Attempts that run while their request is quarantined."""

import types

import anyio
import testtools

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.observability import metrics
from tests import simulated_time
from tests.gateway import samples


class _Detector:
    """Detector that records the interruptions."""

    def __init__(self):
        """Initialize the detector."""
        self.interrupted = []

    def record_interruption(self, request_id, *_):
        """Record an interruption."""
        self.interrupted.append(request_id)


def _job(name, fingerprint, **changes):
    """Return the parts of a job that the guard reads."""
    delivery = attempts.Delivery(samples.route())._replace(**changes)
    return types.SimpleNamespace(
        caller=types.SimpleNamespace(request_id=name),
        fingerprint=fingerprint,
        part_keys=(),
        delivery=delivery,
    )


class CrashGuardTest(testtools.TestCase):
    """A guard with a quarantine and a recording detector."""

    def _run(self, *jobs):
        """Run attempts of jobs until `bad` is quarantined.

        Return the names of those that were cancelled.
        """
        self.detector = _Detector()
        quarantine = crash_quarantine.CrashQuarantine(None, metrics.Metrics())
        self.guard = crash_guard.CrashGuard(self.detector, quarantine)
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
                for number in range(const.CRASH_LIMIT):
                    quarantine.mark('bad', f'c{number}', 'a')
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
