"""Port from a sidecar to its engine's place in a rank group."""

import typing

import expression

from nutmegtrail import errors
from nutmegtrail.expert_map import models
from nutmegtrail.expert_map import placement


class RankEngineError(errors.NutmegtrailError):
    """The engine could not be read or did not take an order."""


class EngineState(typing.NamedTuple):
    """What an engine knows of its group.

    `loads` are tokens a step by expert, `speeds` are relative, by rank.
    """

    current: models.MapState
    horizon: int
    completed: int
    fence: int
    placement: placement.Placement
    loads: placement.Loads
    speeds: placement.Loads


OrderResult: typing.TypeAlias = expression.Result[None, RankEngineError]


class RankEngine(typing.Protocol):
    """Orders carry a fencing number; some engines ignore it."""

    async def read(self) -> expression.Result[EngineState, RankEngineError]:
        """Return the engine's state."""

    async def fence(self, number: int) -> OrderResult:
        """Refuse orders with lower numbers from now on."""

    async def stage(
        self,
        map_id: str,
        staged: placement.Placement,
        number: int,
    ) -> OrderResult:
        """Load a map's weights beside the present ones."""

    async def switch(self, state: models.MapState, number: int) -> OrderResult:
        """Use a staged map from a step on."""

    async def release(self, horizon: int, number: int) -> OrderResult:
        """Allow steps up to a number."""
