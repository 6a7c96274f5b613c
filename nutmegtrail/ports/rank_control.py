"""Port to the control API of the engines in rank groups."""

import enum
import typing

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models


class OrderOutcome(enum.Enum):
    """Outcome of sending an order."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    FENCED = 'fenced'
    UNANSWERED = 'unanswered'


# How often a rank has chosen each expert since its start, layer by layer.
Choices: typing.TypeAlias = tuple[int, ...]


class RankControl(typing.Protocol):
    """Reads the state of engines and sends them orders, from any host."""

    async def report(self, upstream: models.Upstream) -> switch.Report | None:
        """Return an engine's state, about 200 ms old, None if unreadable."""

    async def choices(self, upstream: models.Upstream) -> Choices | None:
        """Return the expert choices of a rank, None if unreadable."""

    async def held_experts(
        self,
        upstream: models.Upstream,
    ) -> layer_placement.Layer | None:
        """Return the experts that a rank holds by layer, None if unreadable."""

    async def order(
        self,
        upstream: models.Upstream,
        order: switch.Order,
        fence: int,
        patience: float = 1,
    ) -> OrderOutcome:
        """Send an order; an unanswered one may still be carried out.

        The response is awaited for the usual time multiplied by `patience`.
        """
