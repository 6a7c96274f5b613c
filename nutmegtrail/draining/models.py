"""Requests and their durations, as far as planned stops depend on them."""

import typing


class Request(typing.NamedTuple):
    """Request that a process may take while it stops.

    `kind` is equal for requests that take similar times and may be repeated
    alike. The request was complete at `received_at_seconds` and ends at
    `deadline_seconds` at the latest. It may produce `tokens` at most, 0 if not
    known. `runs_once` is set if it must not be repeated, and `is_sent` once an
    upstream was asked.
    """

    kind: tuple[str, ...]
    received_at_seconds: float
    deadline_seconds: float
    tokens: int = 0
    runs_once: bool = False
    is_sent: bool = False


class Duration(typing.NamedTuple):
    """How long a request took from when it was first sent to an upstream.

    `first_seconds` is the part up to its first event, and `events` is 0 if the
    response had none.
    """

    ended_at_seconds: float
    seconds: float
    first_seconds: float = 0
    tokens: int = 0
    events: int = 0


class Running(typing.NamedTuple):
    """Request that has not ended.

    Its upstreams were silent for `silent_seconds` so far.
    """

    request: Request
    started_at_seconds: float
    silent_seconds: float = 0


class Silence(typing.NamedTuple):
    """How long an upstream was silent that was expected to go on."""

    ended_at_seconds: float
    seconds: float
