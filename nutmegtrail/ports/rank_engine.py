"""Port from a sidecar to its engine, a member of a rank group."""

import typing

import expression

from nutmegtrail import errors
from nutmegtrail.expert_map import models
from nutmegtrail.expert_map import placement


class RankEngineError(errors.NutmegtrailError):
    """The engine could not be read or rejected an order."""


class EngineState(typing.NamedTuple):
    """State of the rank group as known to an engine.

    `loads` are tokens per step by expert, `speeds` are relative, by rank.
    `horizon` is the highest released step, `fence` the current fencing token.
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
    """Engine that takes orders with a fencing token.

    Some engines ignore the token.
    """

    async def read(self) -> expression.Result[EngineState, RankEngineError]:
        """Return the current state of the engine."""

    async def fence(self, fencing_token: int) -> OrderResult:
        """Reject orders with lower fencing tokens from now on."""

    async def stage(
        self,
        map_id: str,
        staged: placement.Placement,
        fencing_token: int,
    ) -> OrderResult:
        """Load the weights of a map in addition to the current ones."""

    async def switch(
        self, state: models.MapState, fencing_token: int
    ) -> OrderResult:
        """Use a staged map from its first step on."""

    async def release(self, horizon: int, fencing_token: int) -> OrderResult:
        """Allow steps up to the horizon."""
