"""Log lines and counters of attempts at upstreams."""

import anyio

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuated_upstreams
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics


class AttemptLog:
    """Logs and counts the decisions about attempts."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the log."""
        self._dispatcher = dispatcher
        self._metrics = metrics_registry

    def count_attempt(self, upstream: models.Upstream, outcome: str) -> None:
        """Count an attempt that has ended."""
        self._metrics.count(
            'attempts', upstream=upstream.upstream_id, outcome=outcome
        )

    def record_failure(
        self,
        job: jobs.Job,
        event: attempts.Event,
        action: attempts.Repeat | attempts.GiveUp,
    ) -> None:
        """Log and count a failed attempt."""
        self._metrics.increment('failed_attempts', type(event).__name__)
        known_upstreams = self._dispatcher.known_upstreams
        is_evacuated = isinstance(
            event, attempts.Withdrawn
        ) and evacuated_upstreams.is_out_of_service(
            known_upstreams,
            known_upstreams.upstreams_by_id.get(event.upstream_id),
        )
        if is_evacuated:
            self._metrics.increment('evacuated_requests', 'withdrawn')
        logs.decision(
            'attempt:failed',
            request_id=job.caller.request_id,
            fingerprint=job.fingerprint,
            upstream=event.upstream_id,
            failure=type(event).__name__,
            detail=getattr(event, 'detail', ''),
            out_of_service=is_evacuated,
            reached=job.delivery.reached,
            action=type(action).__name__,
        )

    def record_no_upstream(self, job: jobs.Job) -> None:
        """Log a request that no upstream of its service may get."""
        allowed = job.allowed_domains
        logs.decision(
            'attempt:no-upstream',
            request_id=job.caller.request_id,
            service=job.service,
            excluded=len(job.delivery.excluded_ids),
            allowed_domains=None if allowed is None else sorted(allowed),
        )

    def record_silence(
        self, job: jobs.Job, upstream: models.Upstream, *, is_hedged: bool
    ) -> None:
        """Log and count an upstream that is silent during a request."""
        self._metrics.increment('silent_attempts', job.service)
        logs.decision(
            'attempt:silent',
            request_id=job.caller.request_id,
            upstream=upstream.upstream_id,
            has_sent_events=job.delivery.has_sent_events,
            reached=job.delivery.reached,
            is_hedged=is_hedged,
        )

    def record_superseded(
        self, job: jobs.Job, upstream: models.Upstream, by: models.Upstream
    ) -> None:
        """Log that another upstream answers in place of a silent one."""
        logs.decision(
            'attempt:superseded',
            request_id=job.caller.request_id,
            upstream=upstream.upstream_id,
            successor=by.upstream_id,
            has_sent_events=job.delivery.has_sent_events,
        )

    def record_not_placed(
        self,
        job: jobs.Job,
        queued: request_queue.QueuedRequest,
        queued_at_seconds: float,
    ) -> None:
        """Log and count that no upstream became free for an attempt."""
        now = anyio.current_time()
        limiter = self._dispatcher.limiter
        upstreams = fleet.usable_upstreams(
            self._dispatcher.known_upstreams, job.service
        )
        cold_count = limiter.cold_count(upstreams)
        self._metrics.increment('attempts_not_placed', job.service)
        if cold_count:
            self._metrics.increment('attempts_held_back', job.service)
        logs.decision(
            'attempt:not-placed',
            request_id=job.caller.request_id,
            service=job.service,
            reached=job.delivery.reached,
            has_sent_events=job.delivery.has_sent_events,
            waited_seconds=round(now - queued_at_seconds, 4),
            late_by_seconds=round(now - queued.latest_start_seconds, 4),
            waiting=self._dispatcher.waiting_count,
            limited_upstreams=limiter.limited_count(upstreams),
            out_of_service_upstreams=evacuated_upstreams.count(
                self._dispatcher.known_upstreams, job.service
            ),
            cold_upstreams=cold_count,
        )
