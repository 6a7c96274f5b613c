"""Structured log lines, one for each decision, by eliot.

Writing never blocks: a line that the reader is not ready for, or that is
over the rate, is dropped and counted, and the next line tells how many.
"""

import io
import select
import sys
import time
import traceback
import typing

import eliot
import orjson

from nutmegtrail.observability import const

_Message: typing.TypeAlias = dict[str, typing.Any]
_HIDDEN: typing.Final = frozenset(
    ('message_type', 'task_uuid', 'task_level', 'timestamp'),
)


def start(
    log_format: str,
    stream: typing.TextIO | None = None,
    lines_per_second: float = const.LOG_LINES_PER_SECOND,
) -> None:
    """Write log lines as `json` or as readable `text`."""
    target = sys.stdout if stream is None else stream
    render = _as_text if log_format == 'text' else _as_json
    eliot.add_destinations(
        BoundedDestination(target, render, lines_per_second),
    )


def decision(message_type: str, **fields: object) -> None:
    """Log a decision; fields carry neither prompts nor keys."""
    eliot.log_message(message_type=message_type, **fields)


def failure(message_type: str, **fields: object) -> None:
    """Log the exception that is being handled, with its traceback."""
    eliot.log_message(
        message_type=message_type,
        traceback=traceback.format_exc(),
        **fields,
    )


class BoundedDestination:
    """Writes lines up to a rate, and only where that does not block."""

    def __init__(
        self,
        stream: typing.TextIO,
        render: typing.Callable[[_Message], str],
        lines_per_second: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the stream; a second's lines may come at once."""
        self._stream = stream
        self._render = render
        self._rate = lines_per_second
        self._allowed = lines_per_second
        self._clock = clock
        self._refilled_at = clock()
        self._dropped = 0
        self._poller = _poller(stream)

    def __call__(self, message: _Message) -> None:
        """Write one message, or count it as dropped."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._rate
        self._allowed = min(self._allowed + refill, self._rate)
        self._refilled_at = now
        if self._allowed < 1 or not self._is_writable():
            self._dropped += 1
            return
        self._allowed -= 1
        if self._dropped:
            message = {**message, 'lines_dropped_before': self._dropped}
            self._dropped = 0
        line = self._render(message)[: const.LOG_LINE_CHARACTERS]
        self._stream.write(f'{line}\n')
        self._stream.flush()

    def _is_writable(self) -> bool:
        """Return whether a line can be written at once."""
        return self._poller is None or bool(self._poller.poll(0))


def _poller(stream: typing.TextIO) -> 'select.poll | None':
    """Return what tells whether a stream takes bytes, None for a buffer."""
    try:
        number = stream.fileno()
    except (io.UnsupportedOperation, AttributeError):
        return None
    poller = select.poll()
    poller.register(number, select.POLLOUT)
    return poller


def _as_json(message: _Message) -> str:
    """Return a message as JSON."""
    return orjson.dumps(message, default=str).decode()


def _as_text(message: _Message) -> str:
    """Return a message as `type key=value …`."""
    fields = ' '.join(
        f'{name}={text}'
        for name, text in message.items()
        if name not in _HIDDEN
    )
    return f'{message.get("message_type", "")} {fields}'
