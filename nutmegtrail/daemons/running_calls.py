"""Calls that a sidecar has sent to its upstream."""

import collections.abc
import contextlib
import time

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.draining import drain
from nutmegtrail.draining import models as draining_models
from nutmegtrail.wire import models


class Run:
    """One run of a call at the upstream."""

    def __init__(self) -> None:
        """Initialize a run without an answer."""
        self.scope = anyio.CancelScope()
        self.is_answered = False


class RunningCalls:
    """Tracks and cancels calls; knows which ones end before the sidecar."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self.drain = drain.Drain()
        self._is_cut = False
        self._runs_by_id: dict[str, Run] = {}

    def __contains__(self, request_id: str) -> bool:
        """Return whether a call has been sent to the upstream."""
        return request_id in self._runs_by_id

    def has_room_for(self, call: models.Call) -> bool:
        """Return whether a call that is sent now ends before the sidecar."""
        now_seconds = time.monotonic()
        return not self._is_cut and self.drain.has_room_for(
            _to_drained(call, now_seconds), now_seconds
        )

    @contextlib.contextmanager
    def track(self, call: models.Call) -> collections.abc.Iterator[Run]:
        """Enter the scope in which a call runs."""
        run = Run()
        if self._is_cut:
            run.scope.cancel()
        self._runs_by_id[call.request_id] = run
        now_seconds = time.monotonic()
        self.drain.record_start(
            call.request_id, _to_drained(call, now_seconds), now_seconds
        )
        try:
            with run.scope:
                yield run
        finally:
            if self._runs_by_id.get(call.request_id) is run:
                self._runs_by_id.pop(call.request_id)
            self.drain.record_end(
                call.request_id,
                time.monotonic(),
                is_answered=run.is_answered,
            )

    def cancel(self, request_id: str) -> None:
        """Cancel a call if it runs."""
        run = self._runs_by_id.get(request_id)
        if run is not None:
            run.scope.cancel()

    def cut(self) -> None:
        """Cancel all calls and let no other one run."""
        self._is_cut = True
        for run in self._runs_by_id.values():
            run.scope.cancel()


def _to_drained(
    call: models.Call, now_seconds: float
) -> draining_models.Request:
    """Return what a planned stop needs to know of a call."""
    return draining_models.Request(
        (call.target, call.method),
        now_seconds,
        now_seconds + call.deadline_ms / shared_const.MILLISECONDS_PER_SECOND,
        runs_once=not call.idempotent,
    )
