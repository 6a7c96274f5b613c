"""Orders that this instance sends on behalf of the leader."""

import collections

import anyio

from nutmegtrail.expert_balancing import pacer as pacing
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.ports import order_relay
from nutmegtrail.ports import rank_control


class BatchSender:
    """Sends relayed orders to engines.

    Nothing is decided here: the engines check the leader's fencing token,
    and the leader sends an order that stays unanswered again.
    """

    def __init__(
        self,
        engines: rank_control.RankControl,
        dispatcher: dispatching.Dispatcher,
        pacer: pacing.Pacer,
    ) -> None:
        """Initialize the sender without sending any orders."""
        self._engines = engines
        self._dispatcher = dispatcher
        self._pacer = pacer

    async def send(self, batch: order_relay.Batch) -> order_relay.OutcomesById:
        """Send a batch; engines that are not registered get no order."""
        upstreams_by_id = self._dispatcher.known_upstreams.upstreams_by_id
        outcomes_by_id: dict[str, rank_control.OrderOutcome] = {}
        size_bytes = layer_placement.size_bytes(batch.order.layers or ())
        async with anyio.create_task_group() as tasks:
            for upstream_id in batch.upstream_ids:
                upstream = upstreams_by_id.get(upstream_id)
                if upstream is not None:
                    tasks.start_soon(
                        self._send, upstream, batch, size_bytes, outcomes_by_id
                    )
        counts = collections.Counter(
            outcome.value for outcome in outcomes_by_id.values()
        )
        logs.decision(
            'order-relay:sent',
            fence=batch.fence,
            version=batch.order.version,
            upstreams=len(batch.upstream_ids),
            outcomes=counts,
        )
        return outcomes_by_id

    async def _send(
        self,
        upstream: models.Upstream,
        batch: order_relay.Batch,
        size_bytes: int,
        outcomes_by_id: dict[str, rank_control.OrderOutcome],
    ) -> None:
        """Send the order to an engine and record the outcome."""
        await self._pacer.wait(size_bytes)
        outcomes_by_id[upstream.upstream_id] = await self._engines.order(
            upstream, batch.order, batch.fence
        )
