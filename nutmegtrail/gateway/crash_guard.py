"""Protection of upstreams from requests that crash them."""

import contextlib
import typing

import anyio

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_detector
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import part_quarantine


class Attempt:
    """Running attempt; `is_answered` is set if the upstream answered it.

    It is cancelled if its request is quarantined meanwhile. The request may
    have run then.
    """

    def __init__(self, job: jobs.Job) -> None:
        """Initialize the attempt as unanswered."""
        self.job = job
        self.is_answered = False
        self.scope = anyio.CancelScope()

    @property
    def is_cancelled(self) -> bool:
        """Return whether the attempt was cancelled."""
        return self.scope.cancelled_caught


class CrashGuard:
    """Observes attempts and refuses requests that have crashed upstreams."""

    def __init__(
        self,
        detector: crash_detector.CrashDetector,
        quarantine: crash_quarantine.CrashQuarantine,
        parts: part_quarantine.PartQuarantine,
    ) -> None:
        """Initialize the guard without any attempt."""
        self._detector = detector
        self._quarantine = quarantine
        self._part_quarantine = parts
        self._attempts_by_fingerprint: dict[str, set[Attempt]] = {}
        quarantine.add_listener(self._cancel_unanswered)
        parts.add_listener(self._cancel_unanswered_on_part)

    def crash_count(self, job: jobs.Job) -> int:
        """Return the crashes attributed to a request or a part of it."""
        return max(
            self._quarantine.crash_count(job.fingerprint),
            self._part_quarantine.crash_count(job.part_keys),
        )

    def is_suspect(self, job: jobs.Job) -> bool:
        """Return whether a request may have crashed an upstream."""
        return self._quarantine.is_suspect(job.fingerprint)

    def refused_seconds(self, job: jobs.Job) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        return max(
            self._quarantine.remaining_seconds(job.fingerprint),
            self._part_quarantine.remaining_seconds(job.part_keys),
        )

    def refusal(self, job: jobs.Job) -> attempts.GiveUp | None:
        """Return the outcome of a quarantined request, None for others."""
        if not self.refused_seconds(job):
            return None
        return attempts.give_up(job.delivery, attempts.Outcome.QUARANTINED)

    def raise_if_quarantined(self, job: jobs.Job) -> None:
        """Raise GivenUp if a request must not reach upstreams."""
        refusal = self.refusal(job)
        if refusal is not None:
            raise errors.GivenUp(refusal)

    @contextlib.contextmanager
    def watch(
        self, job: jobs.Job, upstream: models.Upstream
    ) -> typing.Iterator[Attempt]:
        """Watch an attempt; it is cancelled if its request is quarantined."""
        attempt = Attempt(job)
        self._attempts_by_fingerprint.setdefault(job.fingerprint, set()).add(
            attempt
        )
        try:
            with attempt.scope:
                yield attempt
        finally:
            self._end(attempt, upstream)

    def record_response(self, upstream: models.Upstream) -> None:
        """Record that an upstream responds."""
        self._detector.record_response(upstream)

    def record_events(self, job: jobs.Job) -> None:
        """Record events; a stream that goes on did not crash its upstream."""
        if job.has_settled:
            return
        now = anyio.current_time()
        if job.begun_at_seconds is None:
            job.begun_at_seconds = now
        if now - job.begun_at_seconds >= const.SETTLED_STREAM_SECONDS:
            self._record_part_success(job)

    def record_success(self, job: jobs.Job) -> None:
        """Clear a request, because it ran without a crash."""
        self._quarantine.record_success(job.fingerprint)
        if not job.has_settled:
            self._record_part_success(job)

    async def examine(self, job: jobs.Job, upstream: models.Upstream) -> None:
        """Find out whether an upstream that closed a connection crashed.

        Only suspects wait for the result before they are retried.
        """
        if self.is_suspect(job):
            await self._detector.examine(upstream)
        else:
            self.examine_later(upstream)

    def examine_later(self, upstream: models.Upstream) -> None:
        """Find out in the background whether an upstream crashed."""
        self._detector.examine_later(upstream)

    def _record_part_success(self, job: jobs.Job) -> None:
        """Record that the prompt of a request does not crash upstreams."""
        job.has_settled = True
        begun_at = job.begun_at_seconds or job.dispatched_at_seconds
        self._part_quarantine.record_success(job.part_keys, begun_at)

    def _end(self, attempt: Attempt, upstream: models.Upstream) -> None:
        """Forget an attempt; without an answer, it was interrupted."""
        job = attempt.job
        running = self._attempts_by_fingerprint[job.fingerprint]
        running.discard(attempt)
        if not running:
            self._attempts_by_fingerprint.pop(job.fingerprint)
        if not attempt.is_answered:
            self._detector.record_interruption(
                job.caller.request_id,
                job.fingerprint,
                upstream,
                () if job.has_settled else job.part_keys,
            )

    def _cancel_unanswered(self, fingerprint: str) -> None:
        """Cancel the attempts of a request that is quarantined now.

        Upstreams that have queued it may drop it before they run it. Streams
        that have sent events go on, because they run.
        """
        for attempt in tuple(
            self._attempts_by_fingerprint.get(fingerprint, ())
        ):
            if not attempt.job.delivery.has_sent_events:
                attempt.scope.cancel()

    def _cancel_unanswered_on_part(self, part: str) -> None:
        """Cancel the attempts of all requests with a part of the prompt."""
        for fingerprint, running in tuple(
            self._attempts_by_fingerprint.items()
        ):
            if any(part in attempt.job.part_keys for attempt in running):
                self._cancel_unanswered(fingerprint)
