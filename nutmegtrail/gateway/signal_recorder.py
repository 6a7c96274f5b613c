"""What upstreams say of themselves, from responses and from other entries.

Every response counts, to a request or to a call to a control API. Limits and
announcements of leaving concern all entries and are exchanged between them. A
hold-off concerns the entry that was turned away.
"""

import typing

import anyio

from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_limiter
from nutmegtrail.gateway import signal_messages
from nutmegtrail.observability import logs
from nutmegtrail.warmup import sightings


class SignalRecorder:
    """Updates the state that the dispatcher uses to select upstreams."""

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Initialize the recorder for a dispatcher."""
        self._dispatcher = dispatcher

    def record(
        self, upstream: models.Upstream, received: models.ReceivedSignals
    ) -> None:
        """Record what an upstream says of itself in a response."""
        signals = received.signals
        limiter = self._dispatcher.limiter
        if signals.is_leaving and self._record_leaving(upstream.incarnation):
            limiter.share(upstream.incarnation)
        # The control API may hold off its own calls, not requests.
        if signals.hold_off_seconds and received.request_id:
            self._record_hold_off(upstream, received)
        if signals.cold_seconds is not None:
            limiter.cold.record(
                sightings.Responded(
                    upstream.upstream_id,
                    upstream.service,
                    upstream.started_at_ms,
                    signals.cold_seconds,
                ),
                'response',
            )
        if limiter.record_signals(upstream, received):
            limiter.share(upstream.incarnation)
            self._dispatcher.dispatch(upstream.service)

    def record_message(
        self, message: signal_messages.SignalMessage, sender: str
    ) -> None:
        """Record what another entry knows; `sender` is its address."""
        now = anyio.current_time()
        for incarnation in message.leaving:
            self._record_leaving(incarnation, told_by=message.entry)
        for registered in message.cold:
            self._dispatcher.limiter.cold.record(registered, message.entry)
        has_changed = False
        for told in message.limits:
            peer_limit = request_limiter.PeerLimit(
                message.entry,
                sender,
                told.incarnation,
                told.statement(now),
                told.sent,
            )
            if self._dispatcher.limiter.record_peer_limit(peer_limit):
                has_changed = True
        if has_changed:
            self._dispatcher.dispatch_all()

    def message(
        self,
        entry: str,
        incarnations: typing.AbstractSet[models.Incarnation] | None = None,
    ) -> signal_messages.SignalMessage:
        """Return what this entry knows of some upstreams, or of all."""
        now = anyio.current_time()
        leaving = fleet.announced_incarnations(
            self._dispatcher.known_upstreams, now
        )
        return signal_messages.SignalMessage(
            entry,
            tuple(
                signal_messages.limit_entry(incarnation, limit, now)
                for incarnation, limit in self._dispatcher.limiter.limits.items()
                if incarnations is None or incarnation in incarnations
            ),
            tuple(
                incarnation
                for incarnation in leaving
                if incarnations is None or incarnation in incarnations
            ),
            tuple(
                registered
                for registered in self._dispatcher.limiter.cold.registrations()
                if incarnations is None
                or registered.incarnation in incarnations
            ),
        )

    def _record_leaving(
        self, incarnation: models.Incarnation, told_by: str = ''
    ) -> bool:
        """Record that an upstream leaves; return whether that is new.

        `told_by` is the entry that received the response, if not this one.
        """
        updated = fleet.decide(
            fleet.AnnouncedLeaving(*incarnation),
            self._dispatcher.known_upstreams,
            anyio.current_time(),
        )
        if updated is self._dispatcher.known_upstreams:
            return False
        upstream_id, started_at_ms = incarnation
        logs.decision(
            'upstream:announced-leaving',
            upstream=upstream_id,
            started_at_ms=started_at_ms,
            told_by=told_by,
        )
        self._dispatcher.known_upstreams = updated
        self._dispatcher.dispatch_all()
        return True

    def _record_hold_off(
        self, upstream: models.Upstream, received: models.ReceivedSignals
    ) -> None:
        """Record that an upstream wants no further requests for some time."""
        seconds = received.signals.hold_off_seconds
        logs.decision(
            'upstream:holds-off',
            upstream=upstream.upstream_id,
            seconds=seconds,
            request_id=received.request_id,
        )
        self._dispatcher.upstream_health = health.record_hold_off(
            self._dispatcher.upstream_health,
            upstream.incarnation,
            seconds,
            anyio.current_time(),
        )
        self._dispatcher.dispatch(upstream.service)
