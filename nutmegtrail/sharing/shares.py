"""Shares by demand in what all entries may use together.

Each of the entries owns an equal part of every such sum, as if there were no
reports between them. It lends what it does not need to those that need more,
and tells each of them its loan in the reports that they exchange anyway. Only
the lender decides on its part: it does not use what it lends until the
borrower has stopped to use it. So lost reports, silent entries and different
views of the demand leave parts unused, and never let two entries use the same
part. All shares together exceed the equal parts only

- if a report is on its way for longer than `RECLAIM_SECONDS - LOAN_SECONDS`,
  by what it lends, until the next report is read;
- if a borrower is suspended and its clock with it, by what it had borrowed,
  for `LOAN_SECONDS` after it wakes;
- if an entry joins, by what a lender had lent beyond its new part, for
  `RECLAIM_SECONDS`;
- if a lender is killed and starts again within `RECLAIM_SECONDS`, by what it
  had lent, for the rest of that time.

The equal parts sum to 1 while all entries count the same number of entries. A
new one counts as soon as it is heard or its registration is read.
"""

import math
import types
import typing

from nutmegtrail.sharing import const

PartsByEntry: typing.TypeAlias = typing.Mapping[str, float]

_NO_PARTS: typing.Final[PartsByEntry] = types.MappingProxyType({})


class PeerState(typing.NamedTuple):
    """What another entry told in its last report.

    `lent` is the part that it lends to this entry.
    """

    demand: float
    lent: float
    received_at_seconds: float


class Offer(typing.NamedTuple):
    """Loans that were decided on at a time, and last told at another one."""

    parts_by_entry: PartsByEntry
    decided_at_seconds: float
    told_at_seconds: float


class Shares(typing.NamedTuple):
    """Share of an entry, the loans of others and its own ones.

    `entries` is the number of entries, this one included. `offers` has those
    that borrowers may still use, the last one at the end.
    """

    entries: int = 1
    peers_by_entry: typing.Mapping[str, PeerState] = types.MappingProxyType({})
    offers: tuple[Offer, ...] = ()


def record_report(shares: Shares, entry: str, told: PeerState) -> Shares:
    """Return the shares after a report of another entry."""
    return shares._replace(
        peers_by_entry={**shares.peers_by_entry, entry: told}
    )


def offer_loans(shares: Shares, demand: float, now_seconds: float) -> Shares:
    """Return the shares with the loans that the next reports tell.

    `demand` is that of this entry. Entries that are not heard neither lend nor
    borrow. Loans are decided on anew in each `OFFER_SECONDS`.
    """
    last = shares.offers[-1] if shares.offers else None
    if (
        last is not None
        and now_seconds - last.decided_at_seconds < const.OFFER_SECONDS
    ):
        retold = last._replace(told_at_seconds=now_seconds)
        return shares._replace(offers=(*shares.offers[:-1], retold))
    current = _drop_old(shares, now_seconds)
    loans = _limit_to_unreserved(
        _wanted_loans(current, demand), _reserved_by_entry(current.offers)
    )
    offer = Offer(loans, now_seconds, now_seconds)
    return current._replace(offers=(*current.offers, offer))


def own_share(shares: Shares, now_seconds: float) -> float:
    """Return the share of this entry, from 0 to 1."""
    borrowed = sum(
        peer.lent
        for peer in shares.peers_by_entry.values()
        if now_seconds - peer.received_at_seconds <= const.LOAN_SECONDS
    )
    lent = sum(
        _reserved_by_entry(_drop_old(shares, now_seconds).offers).values()
    )
    return min(max(1 / shares.entries - lent, 0) + borrowed, 1)


def told_loans(shares: Shares) -> PartsByEntry:
    """Return the loans of the last offer."""
    if not shares.offers:
        return _NO_PARTS
    return shares.offers[-1].parts_by_entry


def _wanted_loans(shares: Shares, demand: float) -> dict[str, float]:
    """Return the loans that would give all a share by their demand."""
    demand_by_entry = {
        entry: peer.demand for entry, peer in shares.peers_by_entry.items()
    }
    mean_demand = (demand + sum(demand_by_entry.values())) / (
        1 + len(demand_by_entry)
    )
    if demand >= mean_demand:
        return {}
    excess_by_entry = {
        entry: peer_demand - mean_demand
        for entry, peer_demand in demand_by_entry.items()
        if peer_demand > mean_demand
    }
    total_excess = sum(excess_by_entry.values())
    surplus = (1 - const.FLOOR_RATIO) * (1 - demand / mean_demand)
    return {
        entry: surplus / shares.entries * excess / total_excess
        for entry, excess in excess_by_entry.items()
    }


def _limit_to_unreserved(
    wanted_by_entry: dict[str, float],
    reserved_by_entry: dict[str, float],
) -> dict[str, float]:
    """Return the loans that fit beside what earlier borrowers may use."""
    kept_by_entry = {
        entry: min(part, reserved_by_entry.get(entry, 0))
        for entry, part in wanted_by_entry.items()
    }
    wanted = sum(wanted_by_entry.values())
    increase = wanted - sum(kept_by_entry.values())
    unreserved = max(wanted - sum(reserved_by_entry.values()), 0)
    ratio = min(unreserved / increase, 1) if increase > 0 else 0
    return {
        entry: _round_down(kept + (wanted_by_entry[entry] - kept) * ratio)
        for entry, kept in kept_by_entry.items()
    }


def _round_down(part: float) -> float:
    """Return a part with few digits, for a short report."""
    return math.floor(part * const.LOAN_UNITS) / const.LOAN_UNITS


def _reserved_by_entry(offers: tuple[Offer, ...]) -> dict[str, float]:
    """Return what each borrower may use at most."""
    reserved_by_entry: dict[str, float] = {}
    for offer in offers:
        for entry, part in offer.parts_by_entry.items():
            reserved_by_entry[entry] = max(
                part, reserved_by_entry.get(entry, 0)
            )
    return reserved_by_entry


def _drop_old(shares: Shares, now_seconds: float) -> Shares:
    """Return the shares without loans that ended and silent entries."""
    return shares._replace(
        peers_by_entry={
            entry: peer
            for entry, peer in shares.peers_by_entry.items()
            if now_seconds - peer.received_at_seconds <= const.RECLAIM_SECONDS
        },
        offers=tuple(
            offer
            for offer in shares.offers
            if now_seconds - offer.told_at_seconds <= const.RECLAIM_SECONDS
        ),
    )
