"""Splitting of event streams and removal of duplicate events."""

import re
import typing

from nutmegtrail.adapters.http1 import errors
from nutmegtrail.gateway import const

_ID_FIELD: typing.Final = b'id:'
# Longer ones exceed 64 bits.
_ID_DIGITS_LIMIT: typing.Final = 18
# An empty line; lines end with or without a carriage return.
_EVENT_END: typing.Final = re.compile(rb'\n\r?\n')
_EVENT_END_BYTES: typing.Final = 3


class Position(typing.NamedTuple):
    """Number of the last forwarded event, None before the first."""

    last_event: int | None = None


class NewEvents(typing.NamedTuple):
    """Events to forward and the position after them.

    `has_gap` is set if an event before the next one is missing.
    """

    position: Position
    payload: bytes
    has_gap: bool


class Splitter:
    """Splits received bytes into complete events."""

    def __init__(self) -> None:
        """Initialize the splitter with an empty buffer."""
        self._received = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._received.strip(b'\r\n'))

    def feed(self, received: bytes) -> tuple[bytes, ...]:
        """Return the events that are complete now, with their terminators.

        Raises ExchangeBroken if an event exceeds the limit.
        """
        search_from = max(len(self._received) - _EVENT_END_BYTES + 1, 0)
        self._received += received
        ends = [
            match.end()
            for match in _EVENT_END.finditer(self._received, search_from)
        ]
        starts = [0, *ends]
        complete_events = tuple(
            bytes(self._received[start:end]) for start, end in zip(starts, ends)
        )
        del self._received[: starts[-1]]
        if max(map(len, (self._received, *complete_events))) > (
            const.EVENT_LIMIT_BYTES
        ):
            raise errors.ExchangeBroken(
                f'event exceeds {const.EVENT_LIMIT_BYTES} bytes'
            )
        return complete_events


def event_id(event: bytes) -> int | None:
    """Return the numeric ID of an event, None if it has none."""
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return parse_number(line[len(_ID_FIELD) :].strip())
    return None


def parse_number(text: bytes) -> int | None:
    """Return the number of an event, None if the text is not one."""
    is_number = text.isdigit() and len(text) <= _ID_DIGITS_LIMIT
    return int(text) if is_number else None


def select_new_events(
    position: Position, events: tuple[bytes, ...]
) -> NewEvents:
    """Return the events after a position, up to the first gap."""
    payload = []
    last_event = position.last_event
    for event in events:
        number = event_id(event)
        if number is None:
            payload.append(event)
            continue
        if last_event is not None and number <= last_event:
            continue
        if last_event is not None and number > last_event + 1:
            return NewEvents(
                Position(last_event), b''.join(payload), has_gap=True
            )
        last_event = number
        payload.append(event)
    return NewEvents(Position(last_event), b''.join(payload), has_gap=False)
