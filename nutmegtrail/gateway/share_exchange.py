"""Share of this entry in what the entries use together, and their sizes."""

import typing

import anyio

from nutmegtrail import models
from nutmegtrail.expert_balancing import const as balancing_const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.host_limits import condition as conditions
from nutmegtrail.observability import logs
from nutmegtrail.sharing import const
from nutmegtrail.sharing import shares


class HostSize(typing.NamedTuple):
    """Size of a host: its cores and the Mbit/s of its link."""

    cores: float
    megabits_per_second: float

    @property
    def weight(self) -> float:
        """Return how much control work the host bears, relative to others.

        Plans of maps need its processor, and the orders for them its link.
        """
        return self.cores * self.megabits_per_second


UNKNOWN_SIZE: typing.Final = HostSize(0, 0)


class ShareReport(typing.NamedTuple):
    """What an entry tells another one in its reports.

    `demand` is that of the requests that arrive at it, `lent` the part of its
    share that it lends to the receiver. The size of its host is 0 if it is not
    known, or while the host is at its limit.
    """

    demand: float
    lent: float
    cores: float = 0
    megabits_per_second: float = 0

    @property
    def size(self) -> HostSize:
        """Return the size of the host."""
        return HostSize(self.cores, self.megabits_per_second)


class ShareExchange:
    """Keeps the share of an entry current."""

    def __init__(
        self, dispatcher: dispatching.Dispatcher, host_size: HostSize
    ) -> None:
        """Initialize the share of an entry that knows no other ones."""
        self.is_strained = False
        self._host_size = host_size
        self._dispatcher = dispatcher
        self._shares = shares.Shares()
        self._size_by_entry: dict[str, HostSize] = {}
        self._told_demand = 0.0
        self._logged_share = 1.0

    @property
    def own_size(self) -> HostSize:
        """Return the size of this host, `UNKNOWN_SIZE` while at its limit."""
        return UNKNOWN_SIZE if self.is_strained else self._host_size

    def on_host_limit(self, exhausted: frozenset[conditions.Resource]) -> None:
        """Tell others that this host bears no control work at its limit."""
        self.is_strained = bool(exhausted)

    def larger_hosts(self) -> int:
        """Return how many entries are heard on larger hosts than this one."""
        weight = self.own_size.weight * balancing_const.LARGER_HOST_RATIO
        return sum(
            size.weight > 0 and size.weight >= weight
            for size in self._size_by_entry.values()
        )

    def link_weight(self, address: models.Address) -> float:
        """Return the bandwidth of the link of this entry or another one."""
        size = self._size_by_entry.get(str(address), self.own_size)
        return max(size.megabits_per_second, 1)

    def set_entries(self, entries: int) -> None:
        """Set the number of entries, this one included."""
        self._shares = self._shares._replace(entries=entries)

    def record(self, entry: str, report: ShareReport | None) -> None:
        """Record what another entry told; None if it tells nothing."""
        if report is None:
            return
        self._size_by_entry[entry] = report.size
        self._shares = shares.record_report(
            self._shares,
            entry,
            shares.PeerState(report.demand, report.lent, anyio.current_time()),
        )

    def offer_loans(self) -> None:
        """Decide on the loans that the next reports tell."""
        demand = self._dispatcher.demand
        self._told_demand = round(demand, 2)
        self._shares = shares.offer_loans(
            self._shares, demand, anyio.current_time()
        )
        self._size_by_entry = {
            entry: size
            for entry, size in self._size_by_entry.items()
            if entry in self._shares.peers_by_entry
        }
        self._update()

    def report_to(self, entry: str) -> ShareReport:
        """Return what to tell another entry."""
        return ShareReport(
            self._told_demand,
            shares.told_loans(self._shares).get(entry, 0),
            *self.own_size,
        )

    def _update(self) -> None:
        """Let the dispatcher use the current share; log larger changes."""
        share = shares.own_share(self._shares, anyio.current_time())
        self._dispatcher.share = share
        change = abs(share - self._logged_share)
        if change < self._logged_share * const.LOGGED_CHANGE_RATIO:
            return
        self._logged_share = share
        logs.decision(
            'entry:share-changed',
            share=round(share, 5),
            entries=self._shares.entries,
            heard=len(self._shares.peers_by_entry),
            demand=self._told_demand,
            total_demand=round(
                self._told_demand
                + sum(
                    peer.demand for peer in self._shares.peers_by_entry.values()
                ),
                2,
            ),
            lent=round(sum(shares.told_loans(self._shares).values()), 5),
        )
