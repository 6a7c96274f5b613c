"""Takes what exchanges show of upstreams into their health."""

import anyio

from nutmegtrail.gateway import attempts
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import health
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs


class HealthRecorder:
    """Keeps the health that the dispatcher chooses by."""

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Keep the dispatcher."""
        self._dispatcher = dispatcher

    def record_outcome(
        self,
        upstream: models.Upstream,
        event: attempts.Event | None,
    ) -> None:
        """Take an attempt's outcome into the health of its upstream."""
        standings = self._dispatcher.upstream_health
        if event is None or isinstance(event, attempts.Failed):
            standings = health.record_success(standings, upstream.upstream_id)
            standings = health.record_success(standings, upstream.group_name)
        else:
            now = anyio.current_time()
            standings = health.record_failure(
                standings, upstream.upstream_id, now
            )
        self._dispatcher.upstream_health = standings

    def eject_blocked_group(
        self,
        upstream: models.Upstream,
        signs: models.ResponseClassification,
    ) -> None:
        """Leave a rank group out while another rank keeps it from working."""
        faulty = signs.faulty_upstream_id
        if faulty and faulty != upstream.upstream_id:
            self.eject_group(upstream)

    def eject_group(self, upstream: models.Upstream) -> None:
        """Leave an upstream and its rank group out for a while."""
        logs.decision('upstream:group-left-out', group=upstream.group_name)
        self._dispatcher.upstream_health = health.record_failure(
            self._dispatcher.upstream_health,
            upstream.group_name,
            anyio.current_time(),
            failures_to_eject=1,
        )

    def expected_latency(self, upstream: models.Upstream) -> float:
        """Return the usual seconds an answer or event, 0 if unknown."""
        return health.latency(
            self._dispatcher.upstream_health,
            upstream.group_name,
            anyio.current_time(),
        )

    def record_latency(self, upstream: models.Upstream, seconds: float) -> None:
        """Take a sample of an upstream's pace."""
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
        """Take the pause before an event into pace and strain."""
        self.record_latency(upstream, seconds)
        allowed = job.route.pause_objective_seconds
        if allowed:
            group = upstream.group_name
            ranks = upstream.membership.size if upstream.membership else 1
            self._dispatcher.upstream_health = health.record_pause_ratio(
                self._dispatcher.upstream_health,
                group,
                seconds / allowed,
                max(self._dispatcher.previous_load(group), ranks),
                anyio.current_time(),
            )
