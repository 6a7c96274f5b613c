"""Passive health checks: records the results of requests to upstreams."""

import anyio

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import health
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import logs
from nutmegtrail.overload import const as overload_const
from nutmegtrail.overload import models as overload_models


class HealthRecorder:
    """Updates the health that the dispatcher uses to select upstreams."""

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Initialize the recorder for a dispatcher."""
        self._dispatcher = dispatcher

    def record_outcome(
        self,
        upstream: models.Upstream,
        event: attempts.Event | None,
    ) -> None:
        """Record whether an attempt reached a working upstream.

        No event means success. A `Failed` event counts as success too, since
        the upstream did respond. A request that was withdrawn, or whose
        response was dropped, tells nothing.
        """
        if event is None or isinstance(event, attempts.Failed):
            self.record_recovery(upstream)
            return
        if isinstance(event, attempts.Withdrawn | attempts.Dropped):
            return
        self._dispatcher.upstream_health = health.record_failure(
            self._dispatcher.upstream_health,
            upstream.upstream_id,
            anyio.current_time(),
        )

    def eject_blocked_group(
        self,
        upstream: models.Upstream,
        classification: models.ResponseClassification,
    ) -> None:
        """Eject the rank group if the response blames another rank of it."""
        faulty = classification.faulty_upstream_id
        if faulty and faulty != upstream.upstream_id:
            self.eject_group(upstream)

    def eject_group(self, upstream: models.Upstream) -> None:
        """Eject an upstream together with its rank group for some time."""
        logs.decision('upstream:group-left-out', group=upstream.group_name)
        self._eject(upstream.group_name)

    def eject_silent(self, upstream: models.Upstream) -> None:
        """Eject an upstream whose stream is silent.

        Ranks of a group run in lock-step, so that the whole group is ejected
        if none of its streams goes on.
        """
        silent_seconds = anyio.current_time() - health.last_latency_at(
            self._dispatcher.upstream_health, upstream.group_name
        )
        if silent_seconds >= const.STREAM_IDLE_TIMEOUT_SECONDS:
            self.eject_group(upstream)
            return
        logs.decision('upstream:left-out', upstream=upstream.upstream_id)
        self._eject(upstream.upstream_id)

    def record_recovery(self, upstream: models.Upstream) -> None:
        """End the ejection of an upstream, and of its group, that responds."""
        upstream_health = self._dispatcher.upstream_health
        for name in (upstream.upstream_id, upstream.group_name):
            upstream_health = health.record_success(upstream_health, name)
        self._dispatcher.upstream_health = upstream_health

    def expected_latency(self, upstream: models.Upstream) -> float:
        """Return the usual seconds per response or event, 0 if unknown."""
        return health.latency(
            self._dispatcher.upstream_health,
            upstream.group_name,
            anyio.current_time(),
        )

    def record_latency(self, upstream: models.Upstream, seconds: float) -> None:
        """Record the seconds that a response or event took."""
        self._dispatcher.upstream_health = health.record_latency(
            self._dispatcher.upstream_health,
            upstream.group_name,
            seconds,
            anyio.current_time(),
        )

    def record_pause(
        self,
        job: jobs.Job,
        upstream: models.Upstream,
        seconds: float,
    ) -> None:
        """Record the pause before a stream event.

        If the route limits pauses, the pause relative to that limit is also
        recorded, with the number of requests of the group.
        """
        self.record_latency(upstream, seconds)
        allowed_seconds = job.route.pause_objective_seconds
        if allowed_seconds:
            group = upstream.group_name
            ranks = upstream.membership.size if upstream.membership else 1
            sample = overload_models.PauseSample(
                seconds / allowed_seconds,
                max(self._dispatcher.previous_load(group), ranks),
            )
            if job.step_times is not None:
                idle_ratio = job.step_times.idle_seconds / allowed_seconds
                sample = sample._replace(
                    idle_ratio=min(
                        idle_ratio, overload_const.MAX_IDLE_PAUSE_RATIO
                    ),
                    is_remembered=request_counts.is_complete(
                        self._dispatcher.counts, self._dispatcher.entries
                    ),
                )
            self._dispatcher.upstream_health = health.record_pause(
                self._dispatcher.upstream_health,
                group,
                sample,
                anyio.current_time(),
            )

    def _eject(self, name: str) -> None:
        """Eject an upstream or a rank group at its first failure."""
        self._dispatcher.upstream_health = health.record_failure(
            self._dispatcher.upstream_health,
            name,
            anyio.current_time(),
            failures_to_eject=1,
        )
