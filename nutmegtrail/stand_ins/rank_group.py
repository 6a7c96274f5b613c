"""Simulated group of ranks in lockstep with an order API for each rank.

A step counts as diverged if it runs on different maps on two ranks.
"""

import typing

import anyio
import numpy as np

from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.expert_map import placement

_INITIAL_MAP_ID: typing.Final = 'initial'
_SLOTS_PER_RANK: typing.Final = 3
_EXPERTS_PER_RANK: typing.Final = 2
_CONFLICT: typing.Final = 409
_SEED: typing.Final = 7


class Rank:
    """State of one rank: its maps, horizon and fencing token."""

    def __init__(self) -> None:
        """Initialize the rank with the initial map and no released step."""
        self.previous_map_id = _INITIAL_MAP_ID
        self.map_id = _INITIAL_MAP_ID
        self.since_step = 0
        self.horizon = 0
        self.fence = 0
        self.staged_ids = {_INITIAL_MAP_ID}

    def map_at(self, step: int) -> str:
        """Return the ID of the map that a step uses."""
        return self.map_id if step >= self.since_step else self.previous_map_id


class RankGroup:
    """Runs the steps and serves the rank API."""

    def __init__(
        self,
        ranks: int,
        step_seconds: float,
        checks_fencing: bool,
    ) -> None:
        """Initialize the group with a map that does not match its loads."""
        generator = np.random.default_rng(_SEED)
        experts = ranks * _EXPERTS_PER_RANK
        initial_loads = generator.uniform(1, 10, experts)
        initial_placement = placement.pack(
            initial_loads, np.ones(ranks), _SLOTS_PER_RANK
        )
        self._loads = generator.uniform(1, 10, experts)
        self._slots_by_map_id = {
            _INITIAL_MAP_ID: initial_placement.slots.tolist()
        }
        self._ranks = [Rank() for _ in range(ranks)]
        self._step_seconds = step_seconds
        self._checks_fencing = checks_fencing
        self._completed_steps = 0
        self._diverged_steps = 0
        self._maps_used: list[str] = []

    async def run(self) -> None:
        """Run each step once all ranks have released it."""
        while True:
            await anyio.sleep(self._step_seconds)
            step = self._completed_steps + 1
            if all(rank.horizon >= step for rank in self._ranks):
                self._run_step(step)

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        if exchange.path == '/stand-in/steps':
            await exchange.respond_json(http_const.HTTP_OK, self._step_counts())
            return
        _, resource, *arguments = exchange.path.split('/')
        if resource != 'ranks':
            await exchange.respond_json(http_const.HTTP_OK, {})
            return
        rank = self._ranks[int(arguments[0])]
        if arguments[1] == 'state':
            await exchange.respond_json(http_const.HTTP_OK, self._state(rank))
            return
        order = exchange.json()
        is_accepted = self._apply(rank, order)
        status = http_const.HTTP_OK if is_accepted else _CONFLICT
        await exchange.respond_json(status, {'taken': is_accepted})

    def _run_step(self, step: int) -> None:
        """Run a step and check whether all ranks use the same map."""
        map_ids = {rank.map_at(step) for rank in self._ranks}
        self._completed_steps = step
        self._diverged_steps += len(map_ids) > 1
        self._maps_used.extend(sorted(map_ids - set(self._maps_used)))

    def _apply(self, rank: Rank, order: dict[str, typing.Any]) -> bool:
        """Apply an order; with fencing, reject it if its token is outdated."""
        if self._checks_fencing and order['fence'] < rank.fence:
            return False
        rank.fence = max(rank.fence, order['fence'])
        kind = order['kind']
        if kind == 'stage':
            self._slots_by_map_id[order['map_id']] = order['slots']
            rank.staged_ids.add(order['map_id'])
        elif kind == 'switch':
            rank.previous_map_id = rank.map_id
            rank.map_id = order['map_id']
            rank.since_step = order['since_step']
        elif kind == 'release':
            rank.horizon = max(rank.horizon, order['horizon'])
        return True

    def _state(self, rank: Rank) -> dict[str, object]:
        """Return the state of a rank."""
        return {
            'map_id': rank.map_id,
            'since_step': rank.since_step,
            'horizon': rank.horizon,
            'completed': self._completed_steps,
            'fence': rank.fence,
            'slots': self._slots_by_map_id[rank.map_id],
            'loads': self._loads.tolist(),
            'speeds': [1 for _ in self._ranks],
        }

    def _step_counts(self) -> dict[str, object]:
        """Return the numbers of steps and the IDs of the maps used."""
        return {
            'completed': self._completed_steps,
            'diverged': self._diverged_steps,
            'maps': self._maps_used,
        }
