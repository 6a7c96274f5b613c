"""Readings of the host's use by this process."""

import errno
import math
import os
import pathlib
import typing

import anyio

from nutmegtrail.host_limits import condition as conditions
from nutmegtrail.host_limits import const
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics

_PAGES_PATH: typing.Final = pathlib.Path('/proc/self/statm')
_DESCRIPTORS_PATH: typing.Final = pathlib.Path('/proc/self/fd')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')

Listener: typing.TypeAlias = typing.Callable[
    [frozenset[conditions.Resource]], None
]


class HostMonitor:
    """Tells listeners when the host reaches a limit or leaves it."""

    def __init__(
        self,
        limits: conditions.Limits,
        listeners: tuple[Listener, ...],
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the monitor without any reading."""
        self._limits = limits
        self._listeners = listeners
        self._metrics = metrics_registry
        self._condition = conditions.Condition()

    async def run(self) -> None:
        """Read the use of the host until cancelled."""
        if self._limits == conditions.Limits():
            await anyio.sleep_forever()
        while True:
            due_at_seconds = anyio.current_time() + const.CHECK_INTERVAL_SECONDS
            await anyio.sleep_until(due_at_seconds)
            lag_seconds = anyio.current_time() - due_at_seconds
            self.record(
                conditions.Reading(
                    max(lag_seconds, 0), _memory_bytes(), _descriptors()
                )
            )

    def record(self, reading: conditions.Reading) -> None:
        """Apply a reading and tell a change."""
        before = self._condition
        self._condition = conditions.observe(before, reading, self._limits)
        self._metrics.set_gauge('host_lag_seconds', self._condition.lag_seconds)
        self._metrics.set_gauge('host_memory_bytes', reading.memory_bytes)
        if self._condition.exhausted == before.exhausted:
            return
        logs.decision(
            'host:limit-reached'
            if self._condition.exhausted
            else 'host:limit-left',
            resources=sorted(self._condition.exhausted),
            lag_seconds=round(self._condition.lag_seconds, 3),
            memory_bytes=reading.memory_bytes,
            descriptors=reading.descriptors,
        )
        for listener in self._listeners:
            listener(self._condition.exhausted)


def _memory_bytes() -> float:
    """Return the resident memory of this process, 0 if it cannot be read."""
    try:
        pages = _PAGES_PATH.read_text().split()[1]
    except OSError as error:
        # Without a free descriptor, which the next reading tells.
        logs.decision('host:unreadable', detail=str(error))
        return 0
    return int(pages) * _PAGE_BYTES


def _descriptors() -> float:
    """Return the number of open descriptors, infinite if none is left."""
    try:
        return len(os.listdir(_DESCRIPTORS_PATH))
    except OSError as error:
        if error.errno in {errno.EMFILE, errno.ENFILE}:
            return math.inf
        logs.decision('host:unreadable', detail=str(error))
        return 0
