"""Port to other instances that send orders on behalf of the leader."""

import typing

from nutmegtrail import models
from nutmegtrail.expert_map import switch
from nutmegtrail.ports import rank_control

OutcomesById: typing.TypeAlias = typing.Mapping[str, rank_control.OrderOutcome]


class Batch(typing.NamedTuple):
    """One order for several engines, under the leader's fencing token."""

    order: switch.Order
    fence: int
    upstream_ids: tuple[str, ...]


class OrderRelay(typing.Protocol):
    """Passes batches of orders to other instances."""

    async def relay(
        self, address: models.Address, batch: Batch
    ) -> OutcomesById:
        """Let an instance send a batch and return the outcomes it tells.

        An order without an outcome may still be carried out.
        """
