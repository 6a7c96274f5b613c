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

    def __init__(self, *, lost):
        """Start on the first map."""
        self.current = models.MapState('m0', 0)
        self.switch_count = 0
        self.fences = []
        self._lost = lost

    async def read(self):
        """Return the state."""
        empty_placement = placement.Placement(np.zeros((1, 1), dtype=np.int64))
        ones = np.ones(1)
        return expression.Ok(
            rank_engine.EngineState(
                self.current,
                64,
                0,
                0,
                empty_placement,
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
        self.switch_count += 1
        is_received = self._lost != 'request' or self.switch_count > 1
        if is_received:
            self.current = state
        if self._lost != 'nothing' and self.switch_count == 1:
            return expression.Error(rank_engine.RankEngineError('lost'))
        return expression.Ok(None)


class _Mesh:
    """No other members."""

    hosts = ()


async def _send_switch(engine):
    """Let a driver send one switch."""
    owner = idempotency_models.Owner('rank-0', 'rank-0/1')
    membership = map_driver.GroupMembership(
        'group', owner, 1, checks_fencing=True
    )
    async with anyio.create_task_group() as tasks:
        driver = map_driver.MapDriver(
            membership,
            engine,
            _Mesh(),
            random.Random(1),
            tasks,
        )
        driver._order_sender.send_nowait(models.OrderSwitch(_STATE))
        driver._order_sender.close()
        await driver._send_orders()


class MapDriverTest(testtools.TestCase):
    """A switch is carried out once."""

    def test_lost_answers(self):
        """A switch that took effect is not sent again; a lost one is."""
        for lost, switch_count in (
            ('nothing', 1),
            ('answer', 1),
            ('request', 2),
        ):
            with self.subTest(lost):
                engine = _Engine(lost=lost)
                anyio.run(_send_switch, engine)
                self.assertEqual(_STATE, engine.current)
                self.assertEqual(switch_count, engine.switch_count)
                self.assertEqual(lost != 'nothing', bool(engine.fences))
