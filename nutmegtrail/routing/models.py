"""Load of the upstreams and the reasoned choice between them."""

import typing

import pyrsistent
import pyrsistent.typing


class Report(typing.NamedTuple):
    """An upstream's last reported requests in flight."""

    in_flight: int
    received_at_seconds: float
    local_in_flight: int


ReportsByUpstream: typing.TypeAlias = pyrsistent.typing.PMap[str, Report]
CountsByUpstream: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class Load(typing.NamedTuple):
    """An entry's own requests in flight and the lagging reports."""

    local_in_flight_by_upstream: CountsByUpstream = pyrsistent.pmap()
    reports_by_upstream: ReportsByUpstream = pyrsistent.pmap()


class Choice(typing.NamedTuple):
    """The chosen upstream, what was considered, and why."""

    upstream: str
    candidates: tuple[str, ...]
    reason: str
