"""Diagnosis of failed or slow requests from the log lines of the processes.

Clocks of hosts may differ, so the lines of several files are not merged: each
file gives a separate timeline of the request.
"""

import collections.abc
import typing

import orjson

from nutmegtrail.observability import const

_Line: typing.TypeAlias = dict[str, typing.Any]
_METADATA_FIELDS: typing.Final = frozenset(
    ('message_type', 'request_id', 'task_uuid', 'task_level', 'timestamp'),
)
# Lines about a request that also concern its copies with other identifiers.
_COPY_MESSAGE_TYPES: typing.Final = frozenset(
    ('request:cleared', 'request:interrupted', 'request:quarantined'),
)


class Event(typing.NamedTuple):
    """Log line of a request or of its process around the same time.

    `after_seconds` counts from the start of the request. `is_context` marks
    lines of the process that do not belong to a request.
    """

    after_seconds: float
    name: str
    is_context: bool
    fields: dict[str, typing.Any]


class Timeline(typing.NamedTuple):
    """Log lines of one process about a request and the cause found in them."""

    source: str
    events: tuple[Event, ...]
    cause: str


def find_fingerprint(
    lines: collections.abc.Iterable[str], request_id: str
) -> str:
    """Return the fingerprint that a request shares with its copies.

    It is empty if no line of the request has it.
    """
    for line in lines:
        parsed = _parse(line) if request_id in line else None
        if parsed is not None and parsed.get('request_id') == request_id:
            if parsed.get('fingerprint'):
                return str(parsed['fingerprint'])
    return ''


def explain(
    source: str,
    lines: collections.abc.Iterable[str],
    request_id: str,
    fingerprint: str = '',
) -> Timeline | None:
    """Return the timeline of a request in a log file, None if not in it.

    With a fingerprint, it includes crashes that copies of the request are
    marked with, also if the request itself is not in the file. Lines without a
    JSON object are skipped. Text before the object, such as the timestamp of a
    log collector, is ignored.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    request_lines = [
        line for line in parsed if line.get('request_id') == request_id
    ]
    copy_lines = [
        line for line in parsed if _is_about_copies(line, fingerprint)
    ]
    own_lines = request_lines or copy_lines
    if not own_lines:
        return None
    start = own_lines[0]['timestamp'] - own_lines[0].get('seconds', 0)
    end = own_lines[-1]['timestamp']
    events = tuple(
        _create_event(line, start, line.get('request_id') == request_id)
        for line in parsed
        if line in copy_lines or _is_relevant(line, request_id, start, end)
    )
    cause = f'copies of the request: {_describe_crashes(copy_lines)}'
    if request_lines:
        cause = _find_cause(request_lines)
    return Timeline(source, events, cause)


def describe(timeline: Timeline) -> str:
    """Return a timeline as text with the cause in the last line."""
    rows = [timeline.source]
    for event in timeline.events:
        marker = '   ' if event.is_context else ' * '
        details = ' '.join(
            f'{name}={orjson.dumps(field).decode()}'
            for name, field in event.fields.items()
        )
        rows.append(
            f'{marker}{event.after_seconds:+8.3f} s  {event.name}  {details}',
        )
    rows.append(f'cause: {timeline.cause}')
    return '\n'.join(rows)


def _parse(line: str) -> _Line | None:
    """Return the JSON object in a log line, None without a timestamp."""
    _, brace, rest = line.partition('{')
    try:
        document = orjson.loads(brace + rest)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(document, dict):
        return None
    timestamp = document.get('timestamp')
    return document if isinstance(timestamp, float | int) else None


def _is_about_copies(line: _Line, fingerprint: str) -> bool:
    """Return whether a line tells crashes of a request or of its copies."""
    if not fingerprint or line.get('fingerprint') != fingerprint:
        return False
    return line.get('message_type') in _COPY_MESSAGE_TYPES


def _is_relevant(
    line: _Line,
    request_id: str,
    start: float,
    end: float,
) -> bool:
    """Return whether a line is about the request or the process around it."""
    if line.get('request_id') is not None:
        return bool(line['request_id'] == request_id)
    return bool(
        start - const.CONTEXT_SECONDS <= line['timestamp'] <= end,
    )


def _create_event(line: _Line, start: float, belongs_to_request: bool) -> Event:
    """Create an event without the metadata fields of its line."""
    fields = {
        name: field
        for name, field in line.items()
        if name not in _METADATA_FIELDS
    }
    return Event(
        line['timestamp'] - start,
        str(line.get('message_type')),
        not belongs_to_request,
        fields,
    )


def _find_cause(request_lines: list[_Line]) -> str:
    """Return the cause of the outcome of a request."""
    for line in request_lines:
        name = line.get('message_type')
        if name == 'request:denied':
            return (
                f'no route or no known key under configuration '
                f'{line.get("configuration")} (status {line.get("status")})'
            )
        if name == 'request:rejected':
            return _describe_rejection(line, request_lines)
    end_lines = [
        line
        for line in request_lines
        if line.get('message_type') == 'request:ended'
    ]
    if not end_lines:
        return 'no end was logged: the process ended, or the line was dropped'
    return _describe_end(end_lines[-1], request_lines)


def _describe_end(end_line: _Line, request_lines: list[_Line]) -> str:
    """Return the cause of the outcome of a request that was not rejected."""
    failures = _select_failures(request_lines)
    cause = _describe_slowest_phase(end_line)
    if end_line.get('outcome') != 'answered':
        cause = _describe_incomplete_response(end_line, request_lines)
    elif failures and end_line.get('status', 0) >= const.FIRST_ERROR_STATUS:
        cause = f'status {end_line.get("status")} after {_as_text(failures)}'
    crashes = [
        line
        for line in request_lines
        if line.get('message_type') == 'request:interrupted'
    ]
    return f'{cause}; {_describe_crashes(crashes)}' if crashes else cause


def _describe_rejection(line: _Line, request_lines: list[_Line]) -> str:
    """Return why a request was rejected."""
    if line.get('reason') == 'quarantined':
        return (
            f'quarantined: it, copies of it or a part of its prompt were in '
            f'flight at '
            f'{line.get("crashes")} crashes of upstreams'
        )
    text = f'{line.get("reason")}; {line.get("waiting")} requests waited'
    if line.get('priority') is not None:
        text = f'{text}; priority {line["priority"]}'
    if line.get('expected_wait_seconds'):
        text = f'{text}, room expected in {line["expected_wait_seconds"]} s'
    text = f'{text}{_describe_evacuation(line)}'
    text = f'{text}{_describe_restriction(request_lines)}'
    failures = _select_failures(request_lines)
    return f'{text}; before that {_as_text(failures)}' if failures else text


def _describe_restriction(request_lines: list[_Line]) -> str:
    """Return what kept upstreams from taking a request, empty if nothing."""
    for line in reversed(request_lines):
        name = line.get('message_type')
        if (
            name == 'attempt:no-upstream'
            and line.get('allowed_domains') is not None
        ):
            domains = ', '.join(line['allowed_domains']) or 'none'
            return f'; its regions allow only the failure domains: {domains}'
        if name == 'attempt:not-placed' and line.get('cold_upstreams'):
            return f'; {line.get("cold_upstreams")} upstreams were cold'
    return ''


def _describe_incomplete_response(
    end_line: _Line, request_lines: list[_Line]
) -> str:
    """Return why the response to a request is incomplete."""
    failures = _select_failures(request_lines)
    if failures:
        text = f'cut after {_as_text(failures)}'
        not_placed = [
            line
            for line in request_lines
            if line.get('message_type') == 'attempt:not-placed'
        ]
        if not_placed:
            waited_seconds = not_placed[-1].get('waited_seconds')
            text = f'{text}, no upstream was free within {waited_seconds} s'
            limited = not_placed[-1].get('limited_upstreams')
            if limited:
                text = f'{text}, {limited} named limits'
            text = f'{text}{_describe_evacuation(not_placed[-1])}'
        return text
    choices = end_line.get('choices') or []
    if not choices:
        return 'the caller left while the request waited for an upstream'
    return (
        f'the caller left, or the entry was stopped, while upstream '
        f'{choices[-1].get("upstream")} was at work'
    )


def _describe_evacuation(line: _Line) -> str:
    """Return how many upstreams got no requests by an operator's word."""
    count = line.get('out_of_service_upstreams')
    if not count:
        return ''
    return f', {count} upstreams were in failure domains out of service'


def _describe_crashes(lines: list[_Line]) -> str:
    """Return the upstreams that crashed with a request in flight."""
    crashes = ', '.join(
        f'{line.get("upstream")} ({line.get("evidence")})'
        for line in lines
        if line.get('message_type') == 'request:interrupted'
    )
    return f'crashed with it in flight: {crashes}'


def _describe_slowest_phase(end_line: _Line) -> str:
    """Return the phase that took most of the time of a completed request."""
    choices = end_line.get('choices') or [{}]
    wait_seconds = choices[-1].get('after_seconds') or 0.0
    first_event_seconds = (
        end_line.get('first_event_seconds') or end_line.get('seconds') or 0.0
    )
    seconds_by_phase = {
        'in the line for an upstream': wait_seconds,
        'at the upstream before its first event': first_event_seconds
        - wait_seconds,
        'in the longest pause between events': (
            end_line.get('longest_pause_seconds') or 0.0
        ),
    }
    phase = max(seconds_by_phase, key=seconds_by_phase.__getitem__)
    return (
        f'answered with {end_line.get("status")}; most time passed {phase}: '
        f'{seconds_by_phase[phase]:.3f} s at {choices[-1].get("upstream")}'
        f'{_describe_room(choices[-1], end_line)}'
    )


def _describe_room(choice: _Line, end_line: _Line) -> str:
    """Return the load and room that a request of some urgency found."""
    if choice.get('group_room') is None:
        return ''
    return (
        f' (priority {end_line.get("priority")}, '
        f'{choice.get("group_in_flight")} requests in its group, '
        f'room for {choice["group_room"]})'
    )


def _select_failures(request_lines: list[_Line]) -> list[_Line]:
    """Return the log lines of failed attempts."""
    return [
        line
        for line in request_lines
        if line.get('message_type') == 'attempt:failed'
    ]


def _as_text(failures: list[_Line]) -> str:
    """Return failed attempts as comma-separated text."""
    return ', '.join(
        f'{line.get("failure")} at {line.get("upstream")}'
        f'{" (out of service)" if line.get("out_of_service") else ""} '
        f'(then {line.get("action")})'
        for line in failures
    )
