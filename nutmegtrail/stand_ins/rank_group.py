"""A group of ranks in lock-step with an order port for each rank.

Every step records the map of each rank; steps on which two ranks differ
are counted as diverged.
"""

import typing

import anyio
import numpy as np

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.expert_map import placement

_FIRST_MAP: typing.Final = 'initial'
_SLOTS: typing.Final = 3
_EXPERTS_PER_RANK: typing.Final = 2
_REFUSED: typing.Final = 409
_SEED: typing.Final = 7


class Rank:
    """A rank's map, its horizon and the maps that it has staged."""

    def __init__(self) -> None:
        """Start on the first map with no step released."""
        self.before = _FIRST_MAP
        self.map_id = _FIRST_MAP
        self.since_step = 0
        self.horizon = 0
        self.fence = 0
        self.staged_ids = {_FIRST_MAP}

    def map_at(self, step: int) -> str:
        """Return the map on which a step runs."""
        return self.map_id if step >= self.since_step else self.before


class RankGroup:
    """Runs the steps and serves the order ports."""

    def __init__(
        self,
        ranks: int,
        step_seconds: float,
        checks_fencing: bool,
    ) -> None:
        """Start with a map that was packed for other loads."""
        generator = np.random.default_rng(_SEED)
        experts = ranks * _EXPERTS_PER_RANK
        first = generator.uniform(1, 10, experts)
        packed = placement.pack(first, np.ones(ranks), _SLOTS)
        self._loads = generator.uniform(1, 10, experts)
        self._slots_by_map_id = {_FIRST_MAP: packed.slots.tolist()}
        self._ranks = [Rank() for _ in range(ranks)]
        self._step_seconds = step_seconds
        self._checks_fencing = checks_fencing
        self._completed = 0
        self._diverged = 0
        self._maps_run: list[str] = []

    async def run(self) -> None:
        """Run the steps that every rank may run."""
        while True:
            await anyio.sleep(self._step_seconds)
            step = self._completed + 1
            if all(rank.horizon >= step for rank in self._ranks):
                self._run_step(step)

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/stand-in/steps':
            await exchange.respond_json(http_const.HTTP_OK, self._record())
            return
        _, kind, *rest = exchange.path.split('/')
        if kind != 'ranks':
            await exchange.respond_json(http_const.HTTP_OK, {})
            return
        rank = self._ranks[int(rest[0])]
        if rest[1] == 'state':
            await exchange.respond_json(http_const.HTTP_OK, self._state(rank))
            return
        order = await exchange.json()
        taken = self._take(rank, order)
        code = http_const.HTTP_OK if taken else _REFUSED
        await exchange.respond_json(code, {'taken': taken})

    def _run_step(self, step: int) -> None:
        """Run a step and compare the ranks' maps."""
        maps = {rank.map_at(step) for rank in self._ranks}
        self._completed = step
        self._diverged += len(maps) > 1
        self._maps_run.extend(sorted(maps - set(self._maps_run)))

    def _take(self, rank: Rank, order: dict[str, typing.Any]) -> bool:
        """Take an order; an old fencing number is refused if checked."""
        if self._checks_fencing and order['fence'] < rank.fence:
            return False
        rank.fence = max(rank.fence, order['fence'])
        kind = order['kind']
        if kind == 'stage':
            self._slots_by_map_id[order['map_id']] = order['slots']
            rank.staged_ids.add(order['map_id'])
        elif kind == 'switch':
            rank.before = rank.map_id
            rank.map_id = order['map_id']
            rank.since_step = order['since_step']
        elif kind == 'release':
            rank.horizon = max(rank.horizon, order['horizon'])
        return True

    def _state(self, rank: Rank) -> dict[str, object]:
        """Return a rank's state."""
        return {
            'map_id': rank.map_id,
            'since_step': rank.since_step,
            'horizon': rank.horizon,
            'completed': self._completed,
            'fence': rank.fence,
            'slots': self._slots_by_map_id[rank.map_id],
            'loads': self._loads.tolist(),
            'speeds': [1 for _ in self._ranks],
        }

    def _record(self) -> dict[str, object]:
        """Return what the group has run."""
        return {
            'completed': self._completed,
            'diverged': self._diverged,
            'maps': self._maps_run,
        }
