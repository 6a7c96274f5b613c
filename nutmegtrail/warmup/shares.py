"""Parts of the rate of a cold upstream, one for each entry that uses it.

The rate is divided in advance and each entry spaces its own requests, so that
entries that do not hear each other exceed it no more than others. The entries
that use an upstream differ from one upstream to another, and begin in turn.
"""

import functools
import typing

import xxhash

from nutmegtrail.gateway import request_limits
from nutmegtrail.warmup import const


class Rule(typing.NamedTuple):
    """Requests per second that cold upstreams of a service bear.

    `cold_seconds` is how long upstreams are cold after their start. There is
    no rule if one of them is 0.
    """

    cold_seconds: float = 0
    requests_per_second: float = 0

    @property
    def is_binding(self) -> bool:
        """Return whether cold upstreams bear fewer requests than others."""
        return self.cold_seconds > 0 and self.requests_per_second > 0


class ColdUpstream(typing.NamedTuple):
    """Upstream that is believed to be cold and when this entry last used it.

    `last_sent_at_seconds` is None before the first request.
    """

    upstream_id: str
    service: str
    started_at_ms: int
    since_seconds: float
    until_seconds: float
    requests_per_second: float
    last_sent_at_seconds: float | None = None


ColdById: typing.TypeAlias = typing.Mapping[str, ColdUpstream]


class Share(typing.NamedTuple):
    """Place of an entry among those that use a cold upstream.

    `place` counts from 0 and is None if the upstream is left to others.
    """

    entries: int
    place: int | None


@functools.lru_cache(maxsize=const.REMEMBERED_SHARES)
def share_of(
    own: str,
    members: tuple[str, ...],
    upstream_id: str,
    requests_per_second: float,
) -> Share:
    """Return the share of an entry, the same for all that know the members."""
    entries = min(
        len(members),
        max(
            int(requests_per_second / const.MIN_REQUESTS_PER_SECOND_PER_ENTRY),
            1,
        ),
    )
    order = sorted(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(
            f'{member}/{upstream_id}'.encode()
        ),
    )
    place = order.index(own)
    return Share(entries, place if place < entries else None)


def available_from(
    cold: ColdUpstream | None,
    sharing: request_limits.Sharing,
    now_seconds: float,
) -> float:
    """Return from when on this entry may send a request to an upstream.

    An entry that the others may have dropped leaves it to them.
    """
    if cold is None or now_seconds >= cold.until_seconds:
        return float('-inf')
    share = _share(cold, sharing)
    if share.place is None or sharing.is_isolated:
        return cold.until_seconds
    rate = cold.requests_per_second
    if cold.last_sent_at_seconds is None:
        next_at = cold.since_seconds + (share.place + 1) / rate
    else:
        next_at = cold.last_sent_at_seconds + share.entries / rate
    return min(next_at, cold.until_seconds)


def expected_rate(
    cold: ColdUpstream | None,
    sharing: request_limits.Sharing,
    now_seconds: float,
) -> float:
    """Return the requests per second that this entry can expect to send."""
    if cold is None or now_seconds >= cold.until_seconds:
        return request_limits.UNLIMITED
    share = _share(cold, sharing)
    if share.place is None or sharing.is_isolated:
        return 0
    return cold.requests_per_second / share.entries


def _share(cold: ColdUpstream, sharing: request_limits.Sharing) -> Share:
    """Return the share of this entry in an upstream."""
    return share_of(
        sharing.own,
        sharing.members,
        cold.upstream_id,
        cold.requests_per_second,
    )
