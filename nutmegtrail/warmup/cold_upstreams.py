"""Upstreams that this entry believes to be cold."""

import typing

import anyio
import pyrsistent

from nutmegtrail.gateway import request_limits
from nutmegtrail.observability import logs
from nutmegtrail.warmup import shares
from nutmegtrail.warmup import sightings


class ColdUpstreams:
    """Keeps which upstreams are cold, and spaces the requests to them."""

    def __init__(self) -> None:
        """Initialize without any service whose upstreams may be cold."""
        self.by_id: dict[str, shares.ColdUpstream] = {}
        self._sightings: sightings.SightingsById = pyrsistent.pmap()
        self._rules_by_service: typing.Mapping[str, shares.Rule] = {}

    def set_rules(
        self, rules_by_service: typing.Mapping[str, shares.Rule]
    ) -> None:
        """Apply the services of a configuration."""
        if rules_by_service == self._rules_by_service:
            return
        self._rules_by_service = rules_by_service
        for upstream_id in self._sightings:
            self._update(upstream_id, 'configuration')

    def record(self, event: sightings.Event, source: str) -> bool:
        """Record how long an upstream stays cold.

        `source` is for the log. Returns whether this incarnation becomes cold.
        """
        self._sightings = sightings.decide(
            event, self._sightings, anyio.current_time()
        )
        if event.upstream_id not in self._sightings:
            return False
        before = self.by_id.get(event.upstream_id)
        self._update(event.upstream_id, source)
        after = self.by_id.get(event.upstream_id)
        if after is None:
            return False
        return before is None or before.started_at_ms != after.started_at_ms

    def registrations(self) -> tuple[sightings.Registered, ...]:
        """Return the registrations of cold upstreams, as of now."""
        now = anyio.current_time()
        return tuple(
            sightings.Registered(
                upstream_id,
                cold.service,
                cold.started_at_ms,
                self._sightings[upstream_id].revision,
                round(max(cold.until_seconds - now, 0), 4),
            )
            for upstream_id, cold in self.by_id.items()
        )

    def take(self, upstream_id: str) -> bool:
        """Count a request that is sent; return whether the upstream is cold."""
        cold = self.by_id.get(upstream_id)
        if cold is None:
            return False
        self.by_id[upstream_id] = cold._replace(
            last_sent_at_seconds=anyio.current_time()
        )
        return True

    def is_available(
        self, upstream_id: str, sharing: request_limits.Sharing
    ) -> bool:
        """Return whether this entry may send a request to an upstream now."""
        now = anyio.current_time()
        return now >= shares.available_from(
            self.by_id.get(upstream_id), sharing, now
        )

    def refresh(self, registered_by_id: typing.Mapping[str, object]) -> None:
        """End cold times that are over, and forget upstreams that are gone."""
        now = anyio.current_time()
        for upstream_id, cold in tuple(self.by_id.items()):
            if now >= cold.until_seconds:
                self._end(upstream_id, 'elapsed')
        # Those that are not registered are few, so that this is rare.
        if len(self._sightings) > 2 * len(registered_by_id):
            self._sightings = sightings.forget(
                self._sightings, {*registered_by_id, *self.by_id}
            )

    def _update(self, upstream_id: str, source: str) -> None:
        """Decide whether an upstream is cold, and log if that changes."""
        sighting = self._sightings[upstream_id]
        rule = self._rules_by_service.get(sighting.service, shares.Rule())
        now = anyio.current_time()
        until_seconds = sighting.cold_until(rule.cold_seconds)
        known = self.by_id.get(upstream_id)
        if not rule.is_binding or now >= until_seconds:
            if known is not None:
                self._end(upstream_id, source)
            return
        if known is None or known.started_at_ms != sighting.started_at_ms:
            known = shares.ColdUpstream(
                upstream_id,
                sighting.service,
                sighting.started_at_ms,
                now,
                until_seconds,
                rule.requests_per_second,
            )
            logs.decision(
                'upstream:cold',
                upstream=upstream_id,
                started_at_ms=sighting.started_at_ms,
                source=source,
                revision=sighting.revision,
                age_seconds=round(now - sighting.first_seen_at_seconds, 4),
                cold_seconds=round(until_seconds - now, 4),
                requests_per_second=rule.requests_per_second,
            )
        self.by_id[upstream_id] = known._replace(
            until_seconds=until_seconds,
            requests_per_second=rule.requests_per_second,
        )

    def _end(self, upstream_id: str, source: str) -> None:
        """Treat an upstream as warm."""
        cold = self.by_id.pop(upstream_id)
        logs.decision(
            'upstream:warm',
            upstream=upstream_id,
            started_at_ms=cold.started_at_ms,
            source=source,
            cold_for_seconds=round(
                anyio.current_time() - cold.since_seconds, 4
            ),
        )
