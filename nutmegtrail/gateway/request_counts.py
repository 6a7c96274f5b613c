"""Counts of requests in flight by upstream, over all entries."""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const

CountsById: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class PeerReport(typing.NamedTuple):
    """Counts of another entry and the time of their arrival."""

    counts_by_id: CountsById
    received_at_seconds: float


ReportsByPeer: typing.TypeAlias = pyrsistent.typing.PMap[str, PeerReport]


class Counts(typing.NamedTuple):
    """Counts of this entry and the latest reports of its peers."""

    local_by_id: CountsById = pyrsistent.pmap()
    reports_by_peer: ReportsByPeer = pyrsistent.pmap()


def record_start(counts: Counts, upstream_id: str) -> Counts:
    """Return the counts after a request was sent."""
    count = counts.local_by_id.get(upstream_id, 0) + 1
    return counts._replace(
        local_by_id=counts.local_by_id.set(upstream_id, count)
    )


def record_end(counts: Counts, upstream_id: str) -> Counts:
    """Return the counts after a request ended."""
    count = counts.local_by_id.get(upstream_id, 0) - 1
    if count <= 0:
        return counts._replace(
            local_by_id=counts.local_by_id.discard(upstream_id)
        )
    return counts._replace(
        local_by_id=counts.local_by_id.set(upstream_id, count)
    )


def record_report(
    counts: Counts,
    peer: str,
    counts_by_id: typing.Mapping[str, int],
    now_seconds: float,
) -> Counts:
    """Return the counts after a report of another entry."""
    report = PeerReport(pyrsistent.pmap(counts_by_id), now_seconds)
    return counts._replace(
        reports_by_peer=counts.reports_by_peer.set(peer, report),
    )


def drop_stale_reports(counts: Counts, now_seconds: float) -> Counts:
    """Return the counts without reports older than the timeout."""
    oldest = now_seconds - const.GOSSIP_TIMEOUT_SECONDS
    reports = counts.reports_by_peer
    for peer, report in counts.reports_by_peer.items():
        if report.received_at_seconds < oldest:
            reports = reports.remove(peer)
    return counts._replace(reports_by_peer=reports)


def is_complete(counts: Counts, entries: int) -> bool:
    """Return whether all other entries have reported lately.

    `entries` is the number of registered ones, with this one. The reports of
    an entry may have several parts.
    """
    peers = {peer.partition('#')[0] for peer in counts.reports_by_peer}
    return len(peers) >= entries - 1


def total_counts(counts: Counts) -> dict[str, int]:
    """Return the requests in flight of all entries by upstream."""
    counts_by_id = dict(counts.local_by_id)
    for report in counts.reports_by_peer.values():
        for upstream_id, count in report.counts_by_id.items():
            counts_by_id[upstream_id] = counts_by_id.get(upstream_id, 0) + count
    return counts_by_id
