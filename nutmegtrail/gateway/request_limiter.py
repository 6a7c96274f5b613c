"""Use of the limits of upstreams: those that they name, and of cold ones."""

import typing

import anyio
import pyrsistent

from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_limits
from nutmegtrail.observability import logs
from nutmegtrail.warmup import cold_upstreams


class PeerLimit(typing.NamedTuple):
    """What another entry knows of a limit.

    `peer` is the name of its process, `sender` its address. `sent` counts the
    requests that it has sent since it has known of the limit.
    """

    peer: str
    sender: str
    incarnation: models.Incarnation
    statement: request_limits.Statement
    sent: int


class RequestLimiter:
    """Reserves requests to limited upstreams.

    A reservation that is not confirmed before it is released was not used.
    """

    def __init__(self) -> None:
        """Initialize without limits, for a single entry."""
        self.limits: request_limits.LimitsByIncarnation = pyrsistent.pmap()
        self.cold = cold_upstreams.ColdUpstreams()
        self.sharing = request_limits.Sharing()
        self._changed: set[models.Incarnation] = set()
        self._has_changed = anyio.Event()
        self._reserved_by_request: dict[str, _Reservation] = {}
        # Requests that were counted at a cold upstream and not sent yet.
        self._counted_as_cold: set[str] = set()

    def record_signals(
        self, upstream: models.Upstream, received: models.ReceivedSignals
    ) -> bool:
        """Record whether a response names a limit; return if that changes.

        One that is not readable is no end of a known limit. Neither is a call
        to a control API that does not name limits.
        """
        signals = received.signals
        if signals.has_unreadable_limit:
            return False
        rate = request_limits.UNLIMITED
        if signals.requests_per_second is not None:
            rate = signals.requests_per_second
        is_control = not received.request_id
        known = self.limits.get(upstream.incarnation)
        if rate == request_limits.UNLIMITED:
            if known is None:
                return False
            if is_control and not known.statement.is_by_control_api:
                return False
        return self._record(
            upstream.incarnation,
            request_limits.Statement(
                rate,
                received.asked_at_seconds,
                anyio.current_time(),
                is_by_control_api=is_control,
            ),
            {'request_id': received.request_id},
        )

    def record_peer_limit(self, told: PeerLimit) -> bool:
        """Record what another entry knows; return if the limit changes."""
        is_changed = self._record(
            told.incarnation, told.statement, {'told_by': told.peer}
        )
        limit = self.limits.get(told.incarnation)
        if limit is not None:
            self.limits = self.limits.set(
                told.incarnation,
                request_limits.record_peer_count(
                    limit,
                    told.peer,
                    told.sender,
                    told.sent,
                    self.sharing,
                    anyio.current_time(),
                ),
            )
        return is_changed

    def limited_count(self, upstreams: tuple[models.Upstream, ...]) -> int:
        """Return how many of the upstreams name limits."""
        return sum(
            upstream.incarnation in self.limits for upstream in upstreams
        )

    def cold_count(self, upstreams: tuple[models.Upstream, ...]) -> int:
        """Return how many of the upstreams are cold."""
        return sum(
            upstream.upstream_id in self.cold.by_id for upstream in upstreams
        )

    def reserve(self, upstream: models.Upstream, request_id: str) -> None:
        """Take a token for a request if the upstream is limited or cold."""
        if self.cold.take(upstream.upstream_id):
            self._counted_as_cold.add(request_id)
        self._take_token(upstream, request_id)

    def _take_token(self, upstream: models.Upstream, request_id: str) -> None:
        """Take a token for a request if the upstream names a limit."""
        limit = self.limits.get(upstream.incarnation)
        if limit is None:
            return
        now = anyio.current_time()
        self._set(
            upstream.incarnation, request_limits.take(limit, self.sharing, now)
        )
        self._reserved_by_request[request_id] = _Reservation(
            upstream.incarnation, now
        )

    def confirm(self, upstream: models.Upstream, request_id: str) -> bool:
        """Return whether a request may be sent now.

        The limit may have become known, or 0, after it was assigned, and the
        upstream cold.
        """
        if not self._confirm_cold(upstream, request_id):
            return False
        limit = self.limits.get(upstream.incarnation)
        reservation = self._reserved_by_request.get(request_id)
        now = anyio.current_time()
        if limit is None:
            self._reserved_by_request.pop(request_id, None)
            return True
        if reservation is None:
            available_from = request_limits.available_from(
                limit, self.sharing, now
            )
            if now < available_from:
                return False
            self._take_token(upstream, request_id)
        elif (
            not limit.rate(now)
            and limit.statement.received_at_seconds > reservation.at_seconds
        ):
            return False
        self._reserved_by_request.pop(request_id, None)
        return True

    def release(self, request_id: str) -> None:
        """Give back the token of a request that was not sent.

        Cold upstreams wait for the next request as if it had been sent.
        """
        self._counted_as_cold.discard(request_id)
        reservation = self._reserved_by_request.pop(request_id, None)
        if reservation is None:
            return
        limit = self.limits.get(reservation.incarnation)
        if limit is not None:
            self._set(
                reservation.incarnation,
                request_limits.give_back(
                    limit, self.sharing, anyio.current_time()
                ),
            )

    def forget(
        self, is_registered: typing.Callable[[models.Incarnation], bool]
    ) -> None:
        """Forget limits that have ended or whose upstreams are long gone."""
        now = anyio.current_time()
        for incarnation, limit in self.limits.items():
            if request_limits.is_forgettable(
                limit,
                is_registered=is_registered(incarnation),
                now_seconds=now,
            ):
                self.limits = self.limits.remove(incarnation)

    def share(self, incarnation: models.Incarnation) -> None:
        """Tell the other entries soon what an upstream said."""
        self._changed.add(incarnation)
        self._has_changed.set()

    async def wait_for_changes(self) -> set[models.Incarnation]:
        """Wait until there is something to tell the other entries.

        Returns the upstreams that it is about, and forgets them.
        """
        await self._has_changed.wait()
        changed = self._changed
        self._changed = set()
        self._has_changed = anyio.Event()
        return changed

    def _confirm_cold(self, upstream: models.Upstream, request_id: str) -> bool:
        """Return whether a request may be sent to an upstream, if it is cold."""
        if request_id in self._counted_as_cold:
            self._counted_as_cold.remove(request_id)
            return True
        if not self.cold.is_available(upstream.upstream_id, self.sharing):
            return False
        self.cold.take(upstream.upstream_id)
        return True

    def _record(
        self,
        incarnation: models.Incarnation,
        statement: request_limits.Statement,
        log_fields: dict[str, str],
    ) -> bool:
        """Record a statement; log it if the limit changes."""
        now = anyio.current_time()
        before = self.limits.get(incarnation)
        self.limits = request_limits.record_statement(
            self.limits, incarnation, statement, self.sharing, now
        )
        after = self.limits.get(incarnation)
        if after is None or _named(before) == _named(after):
            return False
        logs.decision(
            'upstream:limit-changed',
            upstream=incarnation[0],
            started_at_ms=incarnation[1],
            before=_logged(_named(before)),
            requests_per_second=_logged(_named(after)),
            age_seconds=round(now - statement.received_at_seconds, 4),
            **log_fields,
        )
        return True

    def _set(
        self,
        incarnation: models.Incarnation,
        limit: request_limits.RequestLimit,
    ) -> None:
        """Replace a limit whose count of requests has changed."""
        self.limits = self.limits.set(incarnation, limit)
        self.share(incarnation)


class _Reservation(typing.NamedTuple):
    """Token of a request that has not been sent yet."""

    incarnation: models.Incarnation
    at_seconds: float


def _named(limit: request_limits.RequestLimit | None) -> float:
    """Return the limit that an upstream names, `UNLIMITED` if none."""
    if limit is None:
        return request_limits.UNLIMITED
    return limit.statement.requests_per_second


def _logged(rate: float) -> float | None:
    """Return a limit for the log, None if there is none."""
    return None if rate == request_limits.UNLIMITED else rate
