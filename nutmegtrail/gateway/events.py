"""Splitting of event streams and removal of duplicate events."""

import enum
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
_COMMENT: typing.Final = b':'
_FIELDS: typing.Final = (b'data:', b'event:', b'retry:', _COMMENT)
_ANY_TEXT: typing.Final = (b'',)


class Numbering(enum.Enum):
    """How the events of a stream are numbered, as far as they were seen."""

    UNKNOWN = 'unknown'
    CONSECUTIVE = 'consecutive'
    WITH_GAPS = 'with gaps'


class Position(typing.NamedTuple):
    """Number of the last forwarded event, None before the first."""

    last_event: int | None = None
    numbering: Numbering = Numbering.UNKNOWN


class Run(typing.NamedTuple):
    """Response with a stream, or with its events after `asked_after`.

    `last_number` is that of its last event so far, forwarded or not.
    """

    asked_after: int | None = None
    last_number: int | None = None


_WHOLE_STREAM: typing.Final = Run()


class NewEvents(typing.NamedTuple):
    """Events to forward, and the position and the run after them.

    `fault` says why the events after them do not belong to the stream, or is
    empty. `event_count` is the number of events to forward.
    """

    position: Position
    run: Run
    payload: bytes
    fault: str = ''
    event_count: int = 0


class Splitter:
    """Splits received bytes into complete events."""

    def __init__(self) -> None:
        """Initialize the splitter with an empty buffer."""
        self._received = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._received.strip(b'\r\n'))

    @property
    def kept_bytes(self) -> int:
        """Return the size of the buffer."""
        return len(self._received)

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
    position: Position,
    events: tuple[bytes, ...],
    run: Run = _WHOLE_STREAM,
) -> NewEvents:
    """Return the events after a position, up to one that does not follow."""
    payload = []
    fault = ''
    for event in events:
        number = event_id(event)
        fault = _find_fault(event, number, position, run)
        if fault:
            break
        if number is not None:
            run = run._replace(last_number=number)
            if not _is_after(number, position):
                continue
            position = _move(position, number)
        payload.append(event)
    return NewEvents(position, run, b''.join(payload), fault, len(payload))


def _is_after(number: int, position: Position) -> bool:
    """Return whether an event has not been forwarded yet."""
    return position.last_event is None or number > position.last_event


def _move(position: Position, number: int) -> Position:
    """Return the position after an event was forwarded."""
    numbering = position.numbering
    if position.last_event is not None:
        if number > position.last_event + 1:
            numbering = Numbering.WITH_GAPS
        elif numbering is Numbering.UNKNOWN:
            numbering = Numbering.CONSECUTIVE
    return Position(number, numbering)


def _find_fault(
    event: bytes, number: int | None, position: Position, run: Run
) -> str:
    """Return why an event cannot follow, an empty text if it can."""
    if number is None:
        starts = _starts_without_number(position, run)
        return '' if _has_only(event, starts) else 'foreign event'
    if run.last_number is not None and number <= run.last_number:
        return 'repeated event'
    if _misses_events(number, position, run):
        return 'missing event'
    return ''


def _starts_without_number(position: Position, run: Run) -> tuple[bytes, ...]:
    """Return how lines of an event without a number may start.

    A response that continues another one may be an error until its first
    numbered event.
    """
    if run.asked_after is None:
        return _ANY_TEXT
    if position.last_event == run.asked_after:
        return (_COMMENT,)
    return _FIELDS


def _misses_events(number: int, position: Position, run: Run) -> bool:
    """Return whether events are missing between the position and a number.

    Numbers only increase, so a response may leave some out. That tells nothing
    of the events between those of one response and those of another one.
    """
    last_event = position.last_event
    if last_event is None or number <= last_event + 1:
        return False
    if run.last_number is None:
        return position.numbering is Numbering.CONSECUTIVE
    return run.last_number < last_event


def _has_only(event: bytes, starts: tuple[bytes, ...]) -> bool:
    """Return whether all lines of an event start with one of these."""
    lines = event.strip(b'\r\n').split(b'\n')
    return all(line.startswith(starts) for line in lines)
