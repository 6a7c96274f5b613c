"""Distribution of the orders that carry a map over all instances.

Such an order has the whole map of a group, so that the bytes of a switch grow
with the square of the ranks. Each instance therefore sends the orders for some
ranks, those in its own failure domain where it can.
"""

import collections
import typing

from nutmegtrail import models as shared_models
from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import pacer as pacing
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import models
from nutmegtrail.ports import order_relay


class Distribution(typing.NamedTuple):
    """Orders that this instance sends, and those that others send for it."""

    own: tuple[switches.OutgoingOrder, ...]
    relayed_by_address: typing.Mapping[
        shared_models.Address, tuple[switches.OutgoingOrder, ...]
    ]


class OrderDistributor:
    """Decides which instance sends an order, and passes batches on."""

    def __init__(
        self,
        relay: order_relay.OrderRelay,
        peers: typing.Callable[[], tuple[models.Peer, ...]],
        failure_domain: str,
        pacer: pacing.Pacer,
    ) -> None:
        """Initialize the distributor.

        `peers` returns the other instances that are reachable.
        """
        self._relay = relay
        self._peers = peers
        self._failure_domain = failure_domain
        self._pacer = pacer
        self._counted_layers: layer_placement.Layers | None = None
        self._counted_bytes = 0

    def distribute(
        self,
        outgoing_orders: tuple[switches.OutgoingOrder, ...],
        upstreams_by_id: typing.Mapping[str, models.Upstream],
    ) -> Distribution:
        """Return who sends which orders.

        Few or small orders are all sent by this instance.
        """
        size_bytes = sum(
            self._size_bytes(outgoing.order) for outgoing in outgoing_orders
        )
        if self._pacer.duration(size_bytes) < const.MIN_RELAYED_SECONDS:
            return Distribution(outgoing_orders, {})
        domain_by_sender: dict[shared_models.Address | None, str] = {
            None: self._failure_domain
        }
        for peer in self._peers():
            domain_by_sender[peer.address] = peer.failure_domain
        assigned = _assign(outgoing_orders, upstreams_by_id, domain_by_sender)
        own = assigned.pop(None, ())
        return Distribution(
            own,
            {
                address: orders
                for address, orders in assigned.items()
                if address is not None
            },
        )

    async def wait_for_link(self, order: switches.Order) -> None:
        """Wait until this instance may send an order."""
        if order.layers is not None:
            await self._pacer.wait(self._size_bytes(order))

    async def relay(
        self,
        address: shared_models.Address,
        outgoing_orders: tuple[switches.OutgoingOrder, ...],
        fence: int,
    ) -> order_relay.OutcomesById:
        """Let another instance send equal orders; return what it tells."""
        order = outgoing_orders[0].order
        # The map is compressed on its way to the other instance.
        size_bytes = self._size_bytes(order)
        await self._pacer.wait(size_bytes // const.MAP_COMPRESSION_RATIO)
        batch = order_relay.Batch(
            order,
            fence,
            tuple(outgoing.upstream_id for outgoing in outgoing_orders),
        )
        return await self._relay.relay(address, batch)

    def _size_bytes(self, order: switches.Order) -> int:
        """Return the approximate size of an order, 0 if it has no map.

        All orders of a switch have the same map, which is counted once.
        """
        if order.layers is None:
            return 0
        if order.layers is not self._counted_layers:
            self._counted_layers = order.layers
            self._counted_bytes = layer_placement.size_bytes(order.layers)
        return self._counted_bytes


def _assign(
    outgoing_orders: tuple[switches.OutgoingOrder, ...],
    upstreams_by_id: typing.Mapping[str, models.Upstream],
    domain_by_sender: typing.Mapping[shared_models.Address | None, str],
) -> dict[shared_models.Address | None, tuple[switches.OutgoingOrder, ...]]:
    """Return the orders by sender, in the given order.

    An order goes to the sender of the upstream's failure domain that has the
    fewest, or to any sender if the domain has none.
    """
    senders_by_domain: dict[str, list[shared_models.Address | None]] = (
        collections.defaultdict(list)
    )
    for sender, domain in domain_by_sender.items():
        senders_by_domain[domain].append(sender)
    orders_by_sender: dict[
        shared_models.Address | None, list[switches.OutgoingOrder]
    ] = {sender: [] for sender in domain_by_sender}
    for outgoing in outgoing_orders:
        domain = upstreams_by_id[outgoing.upstream_id].failure_domain
        candidates = senders_by_domain.get(domain) or list(domain_by_sender)
        order_counts = [len(orders_by_sender[sender]) for sender in candidates]
        fewest = candidates[order_counts.index(min(order_counts))]
        orders_by_sender[fewest].append(outgoing)
    return {
        sender: tuple(orders)
        for sender, orders in orders_by_sender.items()
        if orders
    }
