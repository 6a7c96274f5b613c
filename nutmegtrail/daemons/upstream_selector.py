"""Selection of upstreams by an entry, based on load and past replies."""

import collections.abc
import time
import typing

from nutmegtrail.daemons import inbound_request
from nutmegtrail.membership import view as membership_view
from nutmegtrail.observability import logs
from nutmegtrail.ports import host_list
from nutmegtrail.retries import models as retry_models
from nutmegtrail.retries import quarantine
from nutmegtrail.routing import candidates
from nutmegtrail.routing import load as load_estimate
from nutmegtrail.routing import models as routing_models
from nutmegtrail.wire import models

OnCrashMark: typing.TypeAlias = collections.abc.Callable[
    [models.CrashMark], None
]


class UpstreamSelector:
    """Selects upstreams by membership, load and crash marks."""

    def __init__(
        self,
        get_revision: collections.abc.Callable[[], int],
        on_crash_mark: OnCrashMark,
        on_cleared: OnCrashMark,
    ) -> None:
        """Initialize the selector without upstreams."""
        self.view = membership_view.View()
        self._get_revision = get_revision
        self._on_crash_mark = on_crash_mark
        self._on_cleared = on_cleared
        self._load = routing_models.Load()
        self._quarantine = quarantine.Quarantine()

    def select(
        self,
        request: inbound_request.InboundRequest,
        preferred: str,
        failed: frozenset[str],
    ) -> host_list.Host | None:
        """Return the sidecar for the next attempt, or None if none is left.

        The choice and its reason are logged.
        """
        now_seconds = time.monotonic()
        hosts_by_upstream = {
            host.upstream: host
            for host in membership_view.upstreams_for(
                self.view,
                request.target,
                now_seconds,
            )
            if host.upstream not in failed
        }
        choice = self._choose(
            request,
            preferred,
            hosts_by_upstream,
            now_seconds,
        )
        if choice is None:
            return None
        logs.decision(
            'routing:chosen',
            request_id=request.request_id,
            client_account=request.caller.client_account,
            target=request.target,
            upstream=choice.upstream,
            candidates=list(choice.candidates),
            reason=choice.reason,
            revision=self._get_revision(),
        )
        return hosts_by_upstream[choice.upstream]

    def record_start(self, upstream: str) -> None:
        """Count a request sent to an upstream."""
        self._load = load_estimate.add_request(self._load, upstream)

    def record_end(self, upstream: str) -> None:
        """Count the end of a request at an upstream."""
        self._load = load_estimate.remove_request(self._load, upstream)

    def record_connection_failure(self, upstream: str) -> None:
        """Avoid an upstream for a while after a lost connection or crash."""
        self.view = membership_view.mark_suspect(
            self.view,
            upstream,
            time.monotonic(),
        )

    def record_heartbeat_ack(
        self, upstream: str, ack: models.HeartbeatAck
    ) -> None:
        """Record the load and drain state that a sidecar reports."""
        self._load = load_estimate.apply_report(
            self._load,
            upstream,
            ack.in_flight,
            time.monotonic(),
        )
        if ack.draining:
            self.view = membership_view.mark_draining(self.view, upstream)

    def record_refusal(
        self,
        request: inbound_request.InboundRequest,
        upstream: str,
        refusal: models.Refusal,
    ) -> None:
        """Update the upstream's state and crash marks from a refusal."""
        if refusal.reason == retry_models.Reason.DRAINING:
            self.view = membership_view.mark_draining(self.view, upstream)
        elif refusal.reason == retry_models.Reason.UNREACHABLE:
            self.record_connection_failure(upstream)
        elif refusal.reason == retry_models.Reason.CRASHED:
            self.record_connection_failure(upstream)
            crash_mark = models.CrashMark(_fingerprint(request), refusal.owner)
            self.record_crash(crash_mark)
            self._on_crash_mark(crash_mark)

    def record_crash(self, crash_mark: models.CrashMark) -> None:
        """Count an upstream crash against the request that was in flight."""
        self._quarantine = quarantine.mark(
            self._quarantine,
            crash_mark.fingerprint,
            crash_mark.crash_id,
            time.monotonic(),
        )

    def is_suspect(self, request: inbound_request.InboundRequest) -> bool:
        """Return whether a request was in flight at a crash."""
        return quarantine.is_marked(
            self._quarantine,
            _fingerprint(request),
            time.monotonic(),
        )

    def is_quarantined(self, request: inbound_request.InboundRequest) -> bool:
        """Return whether a request is refused because of past crashes."""
        return quarantine.is_quarantined(
            self._quarantine,
            _fingerprint(request),
            time.monotonic(),
        )

    def record_success(self, request: inbound_request.InboundRequest) -> None:
        """Clear the crash marks of a request."""
        fingerprint = _fingerprint(request)
        marks = self._quarantine.marks_by_fingerprint.get(fingerprint, ())
        for crash_id in marks:
            self._on_cleared(models.CrashMark(fingerprint, crash_id))
        self._quarantine = quarantine.clear(self._quarantine, fingerprint)

    def sweep(self) -> None:
        """Drop expired crash marks."""
        self._quarantine = quarantine.remove_expired(
            self._quarantine,
            time.monotonic(),
        )

    def _choose(
        self,
        request: inbound_request.InboundRequest,
        preferred: str,
        hosts_by_upstream: dict[str, host_list.Host],
        now_seconds: float,
    ) -> routing_models.Choice | None:
        """Return the preferred upstream or else the best candidate."""
        if preferred in hosts_by_upstream:
            return routing_models.Choice(preferred, (preferred,), 'named')
        key = _routing_key(request)
        if self.is_suspect(request):
            key = _fingerprint(request)
        return candidates.choose(
            key,
            tuple(hosts_by_upstream),
            self._load,
            now_seconds,
        )


def _routing_key(request: inbound_request.InboundRequest) -> str:
    """Return the key by which similar requests get the same upstream."""
    account = request.caller.client_account
    if request.idempotency_key:
        return f'{account}/{request.target}/{request.idempotency_key}'
    return candidates.prefix_key(account, request.target, request.body)


def _fingerprint(request: inbound_request.InboundRequest) -> str:
    """Return a hash that is equal for repetitions of a request."""
    return quarantine.fingerprint(
        request.caller.client_account,
        request.target,
        request.body,
    )
