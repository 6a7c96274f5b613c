"""Port to the engines' control calls, from any host."""

import enum
import typing

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models


class OrderOutcome(enum.Enum):
    """What is known of an order after it was sent."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    FENCED = 'fenced'
    UNANSWERED = 'unanswered'


# Choices of each expert at a rank since its start, layer after layer.
Choices: typing.TypeAlias = tuple[int, ...]


class RankControl(typing.Protocol):
    """Reads and orders of the engines of rank groups."""

    async def report(self, upstream: models.Upstream) -> switch.Report | None:
        """Return an engine's state of some 200 ms ago, None if unreadable."""

    async def choices(self, upstream: models.Upstream) -> Choices | None:
        """Return an engine's choices of experts, None if unreadable."""

    async def held_experts(
        self,
        upstream: models.Upstream,
    ) -> layer_placement.Layer | None:
        """Return the experts that a rank holds, by layer."""

    async def order(
        self,
        upstream: models.Upstream,
        order: switch.Order,
        fence: int,
    ) -> OrderOutcome:
        """Send an order; one without an answer may still be carried out."""
