"""Structured logs, one line per decision, written with eliot.

Writing never blocks: a line is dropped if the reader is not ready for it or if
it exceeds the rate limit. The next line reports the number of dropped lines.
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
_METADATA_FIELDS: typing.Final = frozenset(
    ('message_type', 'task_uuid', 'task_level', 'timestamp'),
)


def start(
    log_format: str,
    stream: typing.TextIO | None = None,
    lines_per_second: float = const.LOG_LINES_PER_SECOND,
) -> None:
    """Start writing log lines in the format `json` or `text`."""
    target = sys.stdout if stream is None else stream
    render = _as_text if log_format == 'text' else _as_json
    eliot.add_destinations(
        BoundedDestination(target, render, lines_per_second),
    )


def decision(message_type: str, **fields: object) -> None:
    """Log a decision; the fields must not contain prompts or API keys."""
    eliot.log_message(message_type=message_type, **fields)


def failure(message_type: str, **fields: object) -> None:
    """Log the exception being handled with its traceback."""
    eliot.log_message(
        message_type=message_type,
        traceback=traceback.format_exc(),
        **fields,
    )


class BoundedDestination:
    """Destination that drops lines rather than block or exceed a rate."""

    def __init__(
        self,
        stream: typing.TextIO,
        render: typing.Callable[[_Message], str],
        lines_per_second: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialize the destination; the burst size is one second of lines."""
        self._stream = stream
        self._render = render
        self._lines_per_second = lines_per_second
        self._tokens = lines_per_second
        self._clock = clock
        self._refilled_at = clock()
        self._dropped = 0
        self._poller = _poller(stream)

    def __call__(self, message: _Message) -> None:
        """Write a message or count it as dropped."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._lines_per_second
        self._tokens = min(self._tokens + refill, self._lines_per_second)
        self._refilled_at = now
        if self._tokens < 1 or not self._is_writable():
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            message = {**message, 'lines_dropped_before': self._dropped}
            self._dropped = 0
        line = self._render(message)[: const.LOG_LINE_LIMIT_CHARACTERS]
        self._stream.write(f'{line}\n')
        self._stream.flush()

    def _is_writable(self) -> bool:
        """Return whether a line can be written without blocking."""
        return self._poller is None or bool(self._poller.poll(0))


def _poller(stream: typing.TextIO) -> 'select.poll | None':
    """Return a poller for write readiness, None for an in-memory stream."""
    try:
        descriptor = stream.fileno()
    except (io.UnsupportedOperation, AttributeError):
        return None
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)
    return poller


def _as_json(message: _Message) -> str:
    """Return a message as JSON."""
    return orjson.dumps(message, default=str).decode()


def _as_text(message: _Message) -> str:
    """Return a message as `type key=value …`."""
    fields = ' '.join(
        f'{name}={text}'
        for name, text in message.items()
        if name not in _METADATA_FIELDS
    )
    return f'{message.get("message_type", "")} {fields}'
