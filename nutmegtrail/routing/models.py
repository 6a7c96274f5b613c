"""Load of the upstreams and the result of a selection."""

import typing

import pyrsistent
import pyrsistent.typing


class Report(typing.NamedTuple):
    """The last report of an upstream.

    `local_in_flight` is the number of this entry's requests when the report
    was received.
    """

    in_flight: int
    received_at_seconds: float
    local_in_flight: int


ReportsByUpstream: typing.TypeAlias = pyrsistent.typing.PMap[str, Report]
CountsByUpstream: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class Load(typing.NamedTuple):
    """Requests in flight from this entry and the last reports of upstreams."""

    local_in_flight_by_upstream: CountsByUpstream = pyrsistent.pmap()
    reports_by_upstream: ReportsByUpstream = pyrsistent.pmap()


class Choice(typing.NamedTuple):
    """The chosen upstream, the candidates considered, and the reason."""

    upstream: str
    candidates: tuple[str, ...]
    reason: str
