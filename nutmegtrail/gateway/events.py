"""Events of a stream: cut at their ends, each passed on exactly once."""

import typing

_ID_FIELD: typing.Final = b'id:'
_EVENT_END: typing.Final = b'\n\n'


class Position(typing.NamedTuple):
    """The last event passed on, None before the first."""

    last_event: int | None = None


class NewEvents(typing.NamedTuple):
    """The next position and the bytes to pass on.

    `gap` is set where an event between the position and these is missing.
    """

    position: Position
    payload: bytes
    has_gap: bool


class Splitter:
    """Cuts received bytes into whole events."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._received = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._received.strip())

    def feed(self, received: bytes) -> tuple[bytes, ...]:
        """Return the events that are whole now, each with its end mark."""
        parts = (self._received + received).split(_EVENT_END)
        self._received = parts.pop()
        return tuple(part + _EVENT_END for part in parts)


def event_id(event: bytes) -> int | None:
    """Return an event's number, None if it has none."""
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


def select_new_events(
    position: Position, events: tuple[bytes, ...]
) -> NewEvents:
    """Return what follows a position; events it includes are left out."""
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
