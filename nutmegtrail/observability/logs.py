"""Structured log lines, one for each decision, by eliot."""

import sys
import traceback
import typing

import eliot
import orjson


def start(log_format: str, stream: typing.TextIO | None = None) -> None:
    """Write log lines as `json` or as readable `text`."""
    target = sys.stdout if stream is None else stream
    if log_format == 'text':
        eliot.add_destinations(_TextDestination(target))
    else:
        eliot.add_destinations(_JsonDestination(target))


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


class _JsonDestination:
    """Writes each message as a line of JSON."""

    def __init__(self, stream: typing.TextIO) -> None:
        """Keep the stream."""
        self._stream = stream

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message."""
        line = orjson.dumps(message, default=str).decode()
        self._stream.write(f'{line}\n')
        self._stream.flush()


class _TextDestination:
    """Writes each message as `type key=value …`."""

    def __init__(self, stream: typing.TextIO) -> None:
        """Keep the stream."""
        self._stream = stream

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message."""
        hidden = {'message_type', 'task_uuid', 'task_level', 'timestamp'}
        fields = ' '.join(
            f'{name}={text}'
            for name, text in message.items()
            if name not in hidden
        )
        line = f'{message.get("message_type", "")} {fields}'
        self._stream.write(f'{line}\n')
        self._stream.flush()
