"""Receiver of signals that notices the end of a process at once."""

import collections.abc
import contextlib
import functools
import signal
import time
import types
import typing

import anyio

_STOP_SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT)
Notice: typing.TypeAlias = collections.abc.Callable[[float], None]


@contextlib.contextmanager
def open_receiver(
    notice_stop: Notice, *others: signal.Signals
) -> collections.abc.Iterator[collections.abc.AsyncIterator[signal.Signals]]:
    """Receive the signals that stop a process, and others.

    A busy event loop reads requests that arrive after a signal before the
    signal is received here. `notice_stop` is called with the time as soon as
    the signal arrives, between any two operations of the event loop, and may
    thus only set attributes.
    """
    handler = functools.partial(_notice, notice_stop)
    with anyio.open_signal_receiver(*_STOP_SIGNALS, *others) as received:
        # The event loop still learns of the signals, from its wake-up socket.
        for number in _STOP_SIGNALS:
            signal.signal(number, handler)
            signal.siginterrupt(number, False)
        yield received


def _notice(
    notice_stop: Notice, number: int, frame: types.FrameType | None
) -> None:
    """Handle a signal."""
    notice_stop(time.monotonic())
