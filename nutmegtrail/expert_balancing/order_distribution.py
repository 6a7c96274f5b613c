"""Distribution of the orders that carry a map over all instances.

Such an order has the whole map of a group, so that the bytes of a switch grow
with the square of the ranks. Each instance therefore sends the orders for some
ranks, those in its own failure domain where it can, and as many as its link
bears beside those of the others.
"""

import collections
import typing

from nutmegtrail import models as shared_models
from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import pacer as pacing
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import models
from nutmegtrail.ports import order_relay


class Distribution(typing.NamedTuple):
    """Orders that this instance sends, and those that others send for it."""

    own: tuple[switches.OutgoingOrder, ...]
    relayed_by_address: typing.Mapping[
        shared_models.Address, tuple[switches.OutgoingOrder, ...]
    ]


def _equal_links(_: shared_models.Address) -> float:
    """Return that all links count as equal."""
    return 1


class OrderDistributor:
    """Decides which instance sends an order, and passes batches on."""

    def __init__(
        self,
        relay: order_relay.OrderRelay,
        location: models.Peer,
        peers: typing.Callable[[], tuple[models.Peer, ...]],
        pacer: pacing.Pacer,
        link_weight: typing.Callable[
            [shared_models.Address], float
        ] = _equal_links,
    ) -> None:
        """Initialize the distributor of the instance at a location.

        `peers` returns the other instances that are reachable, and
        `link_weight` the bandwidth of the link of one of all instances.
        """
        self._relay = relay
        self._location = location
        self._peers = peers
        self._pacer = pacer
        self._link_weight = link_weight

    def distribute(
        self,
        outgoing_orders: tuple[switches.OutgoingOrder, ...],
        upstreams_by_id: typing.Mapping[str, models.Upstream],
        size_bytes: int,
    ) -> Distribution:
        """Return who sends which orders, of `size_bytes` each.

        Few or small orders are all sent by this instance.
        """
        total_bytes = size_bytes * len(outgoing_orders)
        if self._pacer.duration(total_bytes) < const.MIN_RELAYED_SECONDS:
            return Distribution(outgoing_orders, {})
        relayed_by_address = _assign(
            outgoing_orders,
            upstreams_by_id,
            (self._location, *self._peers()),
            self._link_weight,
        )
        own = relayed_by_address.pop(self._location.address, ())
        return Distribution(own, relayed_by_address)

    async def wait_for_link(self, size_bytes: int) -> None:
        """Wait until this instance may send an order."""
        await self._pacer.wait(size_bytes)

    async def relay(
        self,
        address: shared_models.Address,
        outgoing_orders: tuple[switches.OutgoingOrder, ...],
        fence: int,
        size_bytes: int,
    ) -> order_relay.OutcomesById:
        """Let another instance send equal orders; return what it tells."""
        # The map is compressed on its way to the other instance.
        await self._pacer.wait(size_bytes // const.MAP_COMPRESSION_RATIO)
        batch = order_relay.Batch(
            outgoing_orders[0].order,
            fence,
            tuple(outgoing.upstream_id for outgoing in outgoing_orders),
        )
        return await self._relay.relay(address, batch)


def _assign(
    outgoing_orders: tuple[switches.OutgoingOrder, ...],
    upstreams_by_id: typing.Mapping[str, models.Upstream],
    senders: tuple[models.Peer, ...],
    link_weight: typing.Callable[[shared_models.Address], float],
) -> dict[shared_models.Address, tuple[switches.OutgoingOrder, ...]]:
    """Return the orders by the address of their sender, in the given order.

    An order goes to the sender of the upstream's failure domain that will have
    sent all of its orders first, or to any sender if the domain has none.
    """
    addresses_by_domain: dict[str, list[shared_models.Address]] = (
        collections.defaultdict(list)
    )
    for sender in senders:
        addresses_by_domain[sender.failure_domain].append(sender.address)
    orders_by_address: dict[
        shared_models.Address, list[switches.OutgoingOrder]
    ] = {sender.address: [] for sender in senders}
    for outgoing in outgoing_orders:
        domain = upstreams_by_id[outgoing.upstream_id].failure_domain
        addresses = addresses_by_domain.get(domain) or list(orders_by_address)
        durations = [
            (len(orders_by_address[address]) + 1) / link_weight(address)
            for address in addresses
        ]
        first = addresses[durations.index(min(durations))]
        orders_by_address[first].append(outgoing)
    return {
        address: tuple(orders)
        for address, orders in orders_by_address.items()
        if orders
    }
