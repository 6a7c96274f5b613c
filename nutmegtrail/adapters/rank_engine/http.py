"""HTTP client for the state and the orders of one rank."""

import typing

import expression
import httpx
import numpy as np
import pydantic

from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.adapters.bounded_http import client as bounded_http
from nutmegtrail.adapters.bounded_http import models as bounded_models
from nutmegtrail.byte_budget import budget
from nutmegtrail.expert_map import models
from nutmegtrail.expert_map import placement
from nutmegtrail.ports import rank_engine

_LIMITS: typing.Final = bounded_models.Limits(
    shared_const.BYTES_PER_MEBIBYTE, timeout_seconds=2.0
)


# An invalid state would bring one error for each of its numbers.
_Slots: typing.TypeAlias = typing.Annotated[
    list[typing.Annotated[list[int], pydantic.FailFast()]], pydantic.FailFast()
]
_Measures: typing.TypeAlias = typing.Annotated[list[float], pydantic.FailFast()]


class _State(pydantic.BaseModel):
    """Engine state as reported by the engine."""

    map_id: str
    since_step: int
    horizon: int
    completed: int
    fence: int
    slots: _Slots
    loads: _Measures
    speeds: _Measures


class HttpRankEngine:
    """Implements `ports.rank_engine.RankEngine`.

    Each call has a connection of its own, on which no answer to an earlier
    call can come.
    """

    def __init__(self, address: shared_models.Address, rank: int) -> None:
        """Initialize the client without opening connections."""
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}/ranks/{rank}',
            headers=bounded_http.HEADERS,
            timeout=_LIMITS.timeout_seconds,
            limits=httpx.Limits(max_keepalive_connections=0),
        )
        self._budget = budget.ByteBudget(_LIMITS.size_bytes)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(
        self,
    ) -> expression.Result[
        rank_engine.EngineState, rank_engine.RankEngineError
    ]:
        """Return the current state of the engine."""
        try:
            response = await self._fetch(
                self._client.build_request('GET', '/state')
            )
            response.raise_for_status()
            state = _State.model_validate_json(response.content)
        except (httpx.HTTPError, ValueError) as error:
            return expression.Error(rank_engine.RankEngineError(str(error)))
        return expression.Ok(
            rank_engine.EngineState(
                models.MapState(state.map_id, state.since_step),
                state.horizon,
                state.completed,
                state.fence,
                placement.Placement(np.array(state.slots, dtype=np.int64)),
                np.array(state.loads),
                np.array(state.speeds),
            ),
        )

    async def fence(self, fencing_token: int) -> rank_engine.OrderResult:
        """Make the engine reject orders with lower fencing tokens."""
        return await self._order({'kind': 'fence', 'fence': fencing_token})

    async def stage(
        self,
        map_id: str,
        staged: placement.Placement,
        fencing_token: int,
    ) -> rank_engine.OrderResult:
        """Load the weights of a map next to the active ones."""
        return await self._order(
            {
                'kind': 'stage',
                'fence': fencing_token,
                'map_id': map_id,
                'slots': staged.slots.tolist(),
            },
        )

    async def switch(
        self,
        state: models.MapState,
        fencing_token: int,
    ) -> rank_engine.OrderResult:
        """Activate a staged map from a step on."""
        return await self._order(
            {
                'kind': 'switch',
                'fence': fencing_token,
                'map_id': state.map_id,
                'since_step': state.since_step,
            },
        )

    async def release(
        self, horizon: int, fencing_token: int
    ) -> rank_engine.OrderResult:
        """Allow the engine to run steps up to the horizon."""
        return await self._order(
            {'kind': 'release', 'fence': fencing_token, 'horizon': horizon},
        )

    async def _order(self, order: dict[str, object]) -> rank_engine.OrderResult:
        """Send an order; an unknown outcome is reported as an error."""
        try:
            response = await self._fetch(
                self._client.build_request('POST', '/orders', json=order)
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            return expression.Error(rank_engine.RankEngineError(str(error)))
        return expression.Ok(None)

    async def _fetch(self, request: httpx.Request) -> httpx.Response:
        """Send a request; raise httpx.HTTPError without a whole response."""
        return await bounded_http.fetch(
            self._client, request, _LIMITS, self._budget
        )
