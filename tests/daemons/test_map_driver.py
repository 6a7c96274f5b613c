"""Orders to an engine whose answers are lost."""

import random

import anyio
import expression
import numpy as np
import testtools

from nutmegtrail.daemons import map_driver
from nutmegtrail.expert_map import models
from nutmegtrail.expert_map import placement
from nutmegtrail.idempotency import models as idempotency_models
from nutmegtrail.ports import rank_engine

_STATE = models.MapState('m1', 100)


class _Engine:
    """Carries switches out; the answer of the first one may be lost."""

    def __init__(self, *, lose):
        """Start on the first map."""
        self.current = models.MapState('m0', 0)
        self.switches = 0
        self.fences = []
        self._lose = lose

    async def read(self):
        """Return the state."""
        packed = placement.Placement(np.zeros((1, 1), dtype=np.int64))
        ones = np.ones(1)
        return expression.Ok(
            rank_engine.EngineState(
                self.current,
                64,
                0,
                0,
                packed,
                ones,
                ones,
            ),
        )

    async def fence(self, number):
        """Take a fencing number."""
        self.fences.append(number)
        return expression.Ok(None)

    async def switch(self, state, number):
        """Take a switch."""
        self.switches += 1
        arrives = self._lose != 'request' or self.switches > 1
        if arrives:
            self.current = state
        if self._lose != 'nothing' and self.switches == 1:
            return expression.Error(rank_engine.RankEngineError('lost'))
        return expression.Ok(None)


class _Mesh:
    """No other members."""

    hosts = ()


async def _order(engine):
    """Let a driver send one switch."""
    owner = idempotency_models.Owner('rank-0', 'rank-0/1')
    place = map_driver.Place('group', owner, 1, checks_fencing=True)
    async with anyio.create_task_group() as tasks:
        driver = map_driver.MapDriver(
            place,
            engine,
            _Mesh(),
            random.Random(1),
            tasks,
        )
        driver._orders.send_nowait(models.OrderSwitch(_STATE))
        driver._orders.close()
        await driver._send_orders()


class MapDriverTest(testtools.TestCase):
    """A switch is carried out once."""

    def test_lost_answers(self):
        """A switch that took effect is not sent again; a lost one is."""
        for lose, switches in (('nothing', 1), ('answer', 1), ('request', 2)):
            with self.subTest(lose):
                engine = _Engine(lose=lose)
                anyio.run(_order, engine)
                self.assertEqual(_STATE, engine.current)
                self.assertEqual(switches, engine.switches)
                self.assertEqual(lose != 'nothing', bool(engine.fences))
