"""Cause of a failed or late request, from the log lines of the processes.

Clocks of hosts may differ, so lines of several files are not put into one
order: each file tells its own timeline of the request.
"""

import collections.abc
import typing

import orjson

from nutmegtrail.observability import const

_Line: typing.TypeAlias = dict[str, typing.Any]
_BOOKKEEPING: typing.Final = frozenset(
    ('message_type', 'request_id', 'task_uuid', 'task_level', 'timestamp'),
)


class Event(typing.NamedTuple):
    """A log line that concerns a request, or the process meanwhile.

    `after_seconds` counts from the first line about the request.
    """

    after_seconds: float
    name: str
    is_context: bool
    fields: dict[str, typing.Any]


class Timeline(typing.NamedTuple):
    """What one process logged of a request, and what that amounts to."""

    source: str
    events: tuple[Event, ...]
    cause: str


def explain(
    source: str,
    lines: collections.abc.Iterable[str],
    request_id: str,
) -> Timeline | None:
    """Return the timeline of a request in a file, None if not in it.

    Lines that are no JSON objects are passed over; what stands before the
    object, such as a collector's time stamp, is ignored.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    own = [line for line in parsed if line.get('request_id') == request_id]
    if not own:
        return None
    start = own[0]['timestamp'] - own[0].get('seconds', 0)
    end = own[-1]['timestamp']
    events = tuple(
        _event(line, start, line.get('request_id') is not None)
        for line in parsed
        if _concerns(line, request_id, start, end)
    )
    return Timeline(source, events, _cause(own))


def describe(timeline: Timeline) -> str:
    """Return a timeline as text, the cause in its last line."""
    rows = [timeline.source]
    for event in timeline.events:
        mark = '   ' if event.is_context else ' * '
        details = ' '.join(
            f'{name}={orjson.dumps(field).decode()}'
            for name, field in event.fields.items()
        )
        rows.append(
            f'{mark}{event.after_seconds:+8.3f} s  {event.name}  {details}',
        )
    rows.append(f'cause: {timeline.cause}')
    return '\n'.join(rows)


def _parse(line: str) -> _Line | None:
    """Return the object in a log line, None if there is none."""
    _, brace, rest = line.partition('{')
    try:
        document = orjson.loads(brace + rest)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(document, dict):
        return None
    stamp = document.get('timestamp')
    return document if isinstance(stamp, float | int) else None


def _concerns(
    line: _Line,
    request_id: str,
    start: float,
    end: float,
) -> bool:
    """Return whether a line is of the request or of the process meanwhile."""
    if line.get('request_id') is not None:
        return bool(line['request_id'] == request_id)
    return bool(
        start - const.CONTEXT_SECONDS <= line['timestamp'] <= end,
    )


def _event(line: _Line, start: float, concerns_request: bool) -> Event:
    """Return the event of a line."""
    fields = {
        name: field for name, field in line.items() if name not in _BOOKKEEPING
    }
    return Event(
        line['timestamp'] - start,
        str(line.get('message_type')),
        not concerns_request,
        fields,
    )


def _cause(own: list[_Line]) -> str:
    """Return what the lines of a request amount to."""
    for line in own:
        name = line.get('message_type')
        if name == 'request:denied':
            return (
                f'no route or no known key under configuration '
                f'{line.get("configuration")} (status {line.get("status")})'
            )
        if name == 'request:rejected':
            return _rejection(line, _failures(own))
    ended = own[-1]
    if ended.get('message_type') != 'request:ended':
        return 'no end was logged: the process ended, or the line was dropped'
    failures = _failures(own)
    if ended.get('outcome') != 'answered':
        return _cut(ended, failures)
    if failures and ended.get('status', 0) >= const.FIRST_FAILURE_STATUS:
        return f'status {ended.get("status")} after {_list(failures)}'
    return _slowest_part(ended)


def _rejection(line: _Line, failures: list[_Line]) -> str:
    """Return why a request was refused."""
    text = f'{line.get("reason")}; {line.get("waiting")} requests waited'
    return f'{text}; before that {_list(failures)}' if failures else text


def _cut(ended: _Line, failures: list[_Line]) -> str:
    """Return why a request has no whole answer."""
    if failures:
        return f'cut after {_list(failures)}'
    choices = ended.get('choices') or []
    if not choices:
        return 'the caller left while the request waited for an upstream'
    return (
        f'the caller left, or the entry was stopped, while upstream '
        f'{choices[-1].get("upstream")} was at work'
    )


def _slowest_part(ended: _Line) -> str:
    """Return where the time of an answered request went."""
    choices = ended.get('choices') or [{}]
    waited = choices[-1].get('after_seconds') or 0.0
    first = ended.get('first_event_seconds') or ended.get('seconds') or 0.0
    seconds_by_part = {
        'in the line for an upstream': waited,
        'at the upstream before its first event': first - waited,
        'in the longest pause between events': (
            ended.get('longest_pause_seconds') or 0.0
        ),
    }
    part = max(seconds_by_part, key=seconds_by_part.__getitem__)
    return (
        f'answered with {ended.get("status")}; most time passed {part}: '
        f'{seconds_by_part[part]:.3f} s at {choices[-1].get("upstream")}'
    )


def _failures(own: list[_Line]) -> list[_Line]:
    """Return the failed attempts."""
    return [
        line for line in own if line.get('message_type') == 'attempt:failed'
    ]


def _list(failures: list[_Line]) -> str:
    """Return failed attempts as text."""
    return ', '.join(
        f'{line.get("failure")} at {line.get("upstream")} '
        f'(then {line.get("action")})'
        for line in failures
    )
