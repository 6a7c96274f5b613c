"""Detection of upstreams that crashed, and of the requests in flight there.

A broken or missing response does not mean that the upstream has crashed: the
connection may be cut, or the upstream slow or stopped as planned. It has
crashed if its host refuses connections, or if another process answers or
registers at its place, and it was not leaving. A refusal may also come from a
link. A crash is withdrawn if the same incarnation is still registered after
the time within which registrations of crashed upstreams are removed.
"""

import typing

import anyio
import xxhash

from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import models
from nutmegtrail.gateway import part_quarantine
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import upstream_probe
from nutmegtrail.retries import const as retry_const


class Interruption(typing.NamedTuple):
    """Attempt that an upstream did not answer to its end.

    `part_keys` identifies the shared parts of its prompt.
    """

    request_id: str
    fingerprint: str
    upstream: models.Upstream
    at_seconds: float
    part_keys: tuple[str, ...] = ()


class _ProbeResult(typing.NamedTuple):
    """Result of a probe and when it was started."""

    condition: upstream_probe.Condition
    started_at_seconds: float


class _Crash(typing.NamedTuple):
    """Detected crash and the time from which on it can be disproved."""

    upstream: models.Upstream
    disprovable_from_seconds: float


class _ProbeState:
    """Last probe of an incarnation; one probe runs at a time."""

    def __init__(self) -> None:
        """Initialize without a result."""
        self.lock = anyio.Lock()
        self.last_result: _ProbeResult | None = None


class CrashDetector:
    """Attributes interrupted requests to crashes of their upstreams."""

    def __init__(
        self,
        probe: upstream_probe.UpstreamProbe,
        dispatcher: dispatching.Dispatcher,
        quarantine: crash_quarantine.CrashQuarantine,
        parts: part_quarantine.PartQuarantine,
        metrics_registry: metrics.Metrics,
        heartbeat_seconds: float,
    ) -> None:
        """Initialize the detector without any interruption."""
        self._probe = probe
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._part_quarantine = parts
        self._metrics = metrics_registry
        self._removal_seconds = (
            heartbeat_seconds * const.SILENT_HEARTBEATS
            + const.REMOVAL_READ_SECONDS
        )
        self._interruptions: list[Interruption] = []
        self._crashes_by_id: dict[str, _Crash] = {}
        self._responded_at_by_crash_id: dict[str, float] = {}
        self._probe_states_by_crash_id: dict[str, _ProbeState] = {}
        self._to_examine: list[models.Upstream] = []
        self._has_to_examine = anyio.Event()

    def record_response(self, upstream: models.Upstream) -> None:
        """Record that an upstream responds, so that it has not crashed yet."""
        self._responded_at_by_crash_id[crash_id_of(upstream)] = (
            anyio.current_time()
        )

    def record_interruption(
        self,
        request_id: str,
        fingerprint: str,
        upstream: models.Upstream,
        part_keys: tuple[str, ...] = (),
    ) -> None:
        """Record an attempt without a complete response.

        It is ignored if the upstream is leaving or no longer registered,
        because it then stops as planned.
        """
        if not self._is_registered(upstream):
            return
        interruption = Interruption(
            request_id, fingerprint, upstream, anyio.current_time(), part_keys
        )
        if crash_id_of(upstream) in self._crashes_by_id:
            self._mark(interruption, 'already crashed')
            return
        self._interruptions.append(interruption)
        del self._interruptions[: -const.INTERRUPTIONS_LIMIT]

    async def examine(self, upstream: models.Upstream) -> None:
        """Ask an upstream whose connection closed whether it has crashed.

        Attempts that broke at nearly the same time share a probe, if it was
        started after they broke.
        """
        broken_at = anyio.current_time()
        crash_id = crash_id_of(upstream)
        state = self._probe_states_by_crash_id.setdefault(
            crash_id, _ProbeState()
        )
        async with state.lock:
            is_known = crash_id in self._crashes_by_id
            if is_known or not self._is_registered(upstream):
                return
            probed = state.last_result
            if probed is None or probed.started_at_seconds < broken_at:
                probed = await self._send_probe(upstream)
                state.last_result = probed
        if probed.condition is upstream_probe.Condition.ENDED:
            self._record_crash(upstream, 'probe')
        elif probed.condition is upstream_probe.Condition.RUNNING:
            self._drop_interruptions(crash_id, probed.started_at_seconds)

    def examine_later(self, upstream: models.Upstream) -> None:
        """Examine an upstream in the background."""
        self._to_examine.append(upstream)
        self._has_to_examine.set()

    async def run(self) -> None:
        """Examine upstreams and registrations until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._check_periodically)
            while True:
                await self._has_to_examine.wait()
                self._has_to_examine = anyio.Event()
                for upstream in self._to_examine:
                    tasks.start_soon(self.examine, upstream)
                self._to_examine.clear()

    async def _check_periodically(self) -> None:
        """Look for restarts and disproved crashes until cancelled."""
        while True:
            await anyio.sleep(const.INTERRUPTION_CHECK_SECONDS)
            self.check_registrations()

    def check_registrations(self) -> None:
        """Compare interruptions and crashes with the registrations."""
        now = anyio.current_time()
        oldest = now - const.INTERRUPTION_MAX_AGE_SECONDS
        self._interruptions = [
            interruption
            for interruption in self._interruptions
            if interruption.at_seconds > oldest
            and not self._has_responded_since(interruption)
        ]
        if self._interruptions:
            self._detect_restarts()
        self._withdraw_disproved(now)
        self._forget_older(oldest)

    def _detect_restarts(self) -> None:
        """Record crashes of upstreams whose place another process took."""
        known = self._dispatcher.known_upstreams.upstreams_by_id
        upstream_by_address = {
            upstream.address: upstream for upstream in known.values()
        }
        for interruption in tuple(self._interruptions):
            earlier = interruption.upstream
            current = known.get(earlier.upstream_id)
            if current is None:
                current = upstream_by_address.get(earlier.address)
            crash_id = crash_id_of(earlier)
            if current is None or crash_id in self._crashes_by_id:
                continue
            if current.started_at_ms > earlier.started_at_ms:
                self._record_crash(earlier, 'restart')

    def _withdraw_disproved(self, now: float) -> None:
        """Withdraw crashes of incarnations that are still registered."""
        known_upstreams = self._dispatcher.known_upstreams
        is_in_grace = now < known_upstreams.grace_until_seconds
        if is_in_grace or not known_upstreams.is_up_to_date:
            return
        for crash_id, crash in tuple(self._crashes_by_id.items()):
            seconds = now - crash.disprovable_from_seconds
            if seconds < 0:
                continue
            if seconds > retry_const.CRASH_MARK_TTL_SECONDS:
                self._crashes_by_id.pop(crash_id)
            elif self._is_registered(crash.upstream):
                logs.decision(
                    'upstream:crash-withdrawn',
                    upstream=crash.upstream.upstream_id,
                    crash=crash_id,
                )
                self._quarantine.withdraw(crash_id)
                self._part_quarantine.withdraw(crash_id)
                self._crashes_by_id.pop(crash_id)

    def _forget_older(self, oldest: float) -> None:
        """Drop responses and probes that no interruption depends on."""
        self._responded_at_by_crash_id = {
            crash_id: at_seconds
            for crash_id, at_seconds in self._responded_at_by_crash_id.items()
            if at_seconds > oldest
        }
        for crash_id, state in tuple(self._probe_states_by_crash_id.items()):
            probed = state.last_result
            if probed is not None and probed.started_at_seconds < oldest:
                self._probe_states_by_crash_id.pop(crash_id)

    async def _send_probe(self, upstream: models.Upstream) -> _ProbeResult:
        """Probe an upstream."""
        self._metrics.increment('crash_probes')
        started_at = anyio.current_time()
        condition = await self._probe.condition(upstream)
        return _ProbeResult(condition, started_at)

    def _record_crash(self, upstream: models.Upstream, evidence: str) -> None:
        """Record a crash and mark the requests that it interrupted."""
        crash_id = crash_id_of(upstream)
        self._crashes_by_id[crash_id] = _Crash(
            upstream, anyio.current_time() + self._removal_seconds
        )
        self._metrics.increment('upstream_crashes')
        logs.decision(
            'upstream:crashed',
            upstream=upstream.upstream_id,
            crash=crash_id,
            evidence=evidence,
        )
        for interruption in self._interruptions:
            if crash_id_of(interruption.upstream) == crash_id:
                self._mark(interruption, evidence)
        self._drop_interruptions(crash_id, anyio.current_time())

    def _drop_interruptions(self, crash_id: str, until_seconds: float) -> None:
        """Drop the interruptions at an incarnation up to a time."""
        self._interruptions = [
            interruption
            for interruption in self._interruptions
            if crash_id_of(interruption.upstream) != crash_id
            or interruption.at_seconds > until_seconds
        ]

    def _mark(self, interruption: Interruption, evidence: str) -> None:
        """Mark an interrupted request, unless its upstream responded since."""
        if self._has_responded_since(interruption):
            return
        crash_id = crash_id_of(interruption.upstream)
        upstream_id = interruption.upstream.upstream_id
        self._quarantine.mark(interruption.fingerprint, crash_id, upstream_id)
        self._part_quarantine.mark(
            interruption.part_keys,
            crash_id,
            upstream_id,
            interruption.at_seconds,
        )
        logs.decision(
            'request:interrupted',
            request_id=interruption.request_id,
            fingerprint=interruption.fingerprint,
            parts=interruption.part_keys,
            upstream=upstream_id,
            crash=crash_id,
            evidence=evidence,
            age_seconds=round(
                anyio.current_time() - interruption.at_seconds, 3
            ),
            crashes=self._quarantine.crash_count(interruption.fingerprint),
        )

    def _has_responded_since(self, interruption: Interruption) -> bool:
        """Return whether the upstream responded after the interruption."""
        responded_at = self._responded_at_by_crash_id.get(
            crash_id_of(interruption.upstream), float('-inf')
        )
        return (
            responded_at > interruption.at_seconds + const.RESPONSE_READ_SECONDS
        )

    def _is_registered(self, upstream: models.Upstream) -> bool:
        """Return whether the incarnation is registered and not leaving."""
        known = self._dispatcher.known_upstreams.upstreams_by_id
        current = known.get(upstream.upstream_id)
        return (
            current is not None
            and not current.leaving
            and current.started_at_ms == upstream.started_at_ms
        )


def crash_id_of(upstream: models.Upstream) -> str:
    """Return the identifier of the crash of an incarnation.

    It is the same at all gateway instances.
    """
    return xxhash.xxh3_64_hexdigest(
        f'{upstream.upstream_id}\0{upstream.started_at_ms}'.encode()
    )
