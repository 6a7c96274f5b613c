"""Requests in flight at each upstream: own ones and those of other entries."""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const

CountsById: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class PeerReport(typing.NamedTuple):
    """The counts of another entry and the time of their arrival."""

    counts_by_id: CountsById
    received_at_seconds: float


ReportsByPeer: typing.TypeAlias = pyrsistent.typing.PMap[str, PeerReport]


class Loads(typing.NamedTuple):
    """Counts of requests in flight by upstream."""

    own_by_id: CountsById = pyrsistent.pmap()
    reports_by_peer: ReportsByPeer = pyrsistent.pmap()


def started(loads: Loads, upstream_id: str) -> Loads:
    """Return the loads after sending a request."""
    count = loads.own_by_id.get(upstream_id, 0) + 1
    return loads._replace(own_by_id=loads.own_by_id.set(upstream_id, count))


def ended(loads: Loads, upstream_id: str) -> Loads:
    """Return the loads after the end of a request."""
    count = loads.own_by_id.get(upstream_id, 0) - 1
    if count <= 0:
        return loads._replace(own_by_id=loads.own_by_id.discard(upstream_id))
    return loads._replace(own_by_id=loads.own_by_id.set(upstream_id, count))


def reported(
    loads: Loads,
    peer: str,
    counts_by_id: typing.Mapping[str, int],
    now_seconds: float,
) -> Loads:
    """Return the loads after another entry's report."""
    report = PeerReport(pyrsistent.pmap(counts_by_id), now_seconds)
    return loads._replace(
        reports_by_peer=loads.reports_by_peer.set(peer, report),
    )


def forget_silent(loads: Loads, now_seconds: float) -> Loads:
    """Return the loads without the reports of silent entries."""
    oldest = now_seconds - const.GOSSIP_TIMEOUT_SECONDS
    reports = loads.reports_by_peer
    for peer, report in loads.reports_by_peer.items():
        if report.received_at_seconds < oldest:
            reports = reports.remove(peer)
    return loads._replace(reports_by_peer=reports)


def totals(loads: Loads) -> dict[str, int]:
    """Return the requests in flight at each upstream, of all entries."""
    counts_by_id = dict(loads.own_by_id)
    for report in loads.reports_by_peer.values():
        for upstream_id, count in report.counts_by_id.items():
            counts_by_id[upstream_id] = counts_by_id.get(upstream_id, 0) + count
    return counts_by_id
