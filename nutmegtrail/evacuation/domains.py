"""Failure domains out of service, as of a revision of the store.

The state of a higher revision holds as a whole, whether it was read from the
store or told by another entry: a domain that it lacks is in service. What is
read or told of a lower revision changes nothing, so that neither a late
message nor an outdated read takes back what is known.

A store that comes back from an earlier copy may lack what the operators wrote
last. Its revisions are higher, since they include its era. Domains that the
copy lacks stay out of service until the operators had the time to write it
again.
"""

import functools
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.evacuation import const

RevisionsByDomain: typing.TypeAlias = pyrsistent.typing.PMap[str, int]


class Evacuations(typing.NamedTuple):
    """Failure domains out of service and the revision of that knowledge.

    `revision_by_domain` has the revisions at which domains were taken out.
    `kept_until_by_domain` has those that an earlier copy of the store lacks.
    `is_known` is set once the store was read.
    """

    revision: int = const.UNKNOWN_REVISION
    era: int = 0
    revision_by_domain: RevisionsByDomain = pyrsistent.pmap()
    kept_until_by_domain: pyrsistent.typing.PMap[str, float] = pyrsistent.pmap()
    is_known: bool = False

    @property
    def out_of_service(self) -> frozenset[str]:
        """Return the failure domains that get no requests."""
        return frozenset(self.revision_by_domain) | frozenset(
            self.kept_until_by_domain
        )


class SnapshotReceived(typing.NamedTuple):
    """All domains out of service were read from the store."""

    revision: int
    era: int
    revision_by_domain: typing.Mapping[str, int]


class ToldByPeer(typing.NamedTuple):
    """Another entry told what it knows."""

    revision: int
    era: int
    revision_by_domain: typing.Mapping[str, int]


class TakenOut(typing.NamedTuple):
    """An operator took a failure domain out of service."""

    domain: str
    revision: int


class TakenBack(typing.NamedTuple):
    """An operator took a failure domain back into service."""

    domain: str
    revision: int


class TimeElapsed(typing.NamedTuple):
    """Time has passed since the last event."""


Event: typing.TypeAlias = (
    SnapshotReceived | ToldByPeer | TakenOut | TakenBack | TimeElapsed
)


@functools.singledispatch
def decide(
    event: Event, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Return the state after an event."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _snapshot_received(
    event: SnapshotReceived, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Adopt a snapshot; an outdated one only tells that the store answers."""
    adopted = _adopt(event, evacuations, now_seconds)
    return adopted._replace(is_known=True)


@decide.register
def _told_by_peer(
    event: ToldByPeer, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Adopt what another entry knows if it is newer."""
    return _adopt(event, evacuations, now_seconds)


@decide.register
def _taken_out(
    event: TakenOut, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Take a domain out of service."""
    if event.revision <= evacuations.revision:
        return evacuations
    return evacuations._replace(
        revision=event.revision,
        revision_by_domain=evacuations.revision_by_domain.set(
            event.domain, event.revision
        ),
        kept_until_by_domain=evacuations.kept_until_by_domain.discard(
            event.domain
        ),
    )


@decide.register
def _taken_back(
    event: TakenBack, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Take a domain back into service."""
    if event.revision <= evacuations.revision:
        return evacuations
    return evacuations._replace(
        revision=event.revision,
        revision_by_domain=evacuations.revision_by_domain.discard(event.domain),
        kept_until_by_domain=evacuations.kept_until_by_domain.discard(
            event.domain
        ),
    )


@decide.register
def _time_elapsed(
    event: TimeElapsed, evacuations: Evacuations, now_seconds: float
) -> Evacuations:
    """Follow an earlier copy of the store where nothing was written again."""
    kept = {
        domain: until_seconds
        for domain, until_seconds in evacuations.kept_until_by_domain.items()
        if now_seconds < until_seconds
    }
    if len(kept) == len(evacuations.kept_until_by_domain):
        return evacuations
    return evacuations._replace(kept_until_by_domain=pyrsistent.pmap(kept))


def _adopt(
    event: SnapshotReceived | ToldByPeer,
    evacuations: Evacuations,
    now_seconds: float,
) -> Evacuations:
    """Return the state of the event, unless it is not newer."""
    if event.revision <= evacuations.revision:
        return evacuations
    kept = dict(evacuations.kept_until_by_domain)
    if event.era > evacuations.era:
        until_seconds = now_seconds + const.REWRITE_SECONDS
        for domain in evacuations.revision_by_domain:
            kept[domain] = until_seconds
    return evacuations._replace(
        revision=event.revision,
        era=event.era,
        revision_by_domain=pyrsistent.pmap(dict(event.revision_by_domain)),
        kept_until_by_domain=pyrsistent.pmap(
            {
                domain: until_seconds
                for domain, until_seconds in kept.items()
                if domain not in event.revision_by_domain
            },
        ),
    )
