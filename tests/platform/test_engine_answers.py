"""Answers of engines that belong to another call on the same connection."""

import anyio
import testtools

from nutmegtrail.expert_map import switch
from nutmegtrail.platform import engines
from nutmegtrail.ports import rank_control
from tests import simulated_time
from tests.expert_balancing import engine_network

_FENCE = 7
_MAP = (((0, 1), (2, 3)), ((0, 1), (2, 3)))
_PREPARE = switch.Order(switch.Operation.PREPARE, 1, 3, layers=_MAP)
_ARM = switch.Order(switch.Operation.ARM, 1, 3, 90)
_ORDERS = (
    _ARM,
    switch.Order(switch.Operation.HOLD, 1, step=90),
    switch.Order(switch.Operation.RELEASE, 1, step=90),
    switch.Order(switch.Operation.DISARM, 1, 99),
)
_ACCEPTED = rank_control.OrderOutcome.ACCEPTED
_UNANSWERED = rank_control.OrderOutcome.UNANSWERED


class EngineAnswersTest(testtools.TestCase):
    """One engine, which may repeat an answer before the next one.

    Each test runs with an engine whose answers name their requests and with
    one whose answers do not.
    """

    def _run(self, scenario):
        """Run a scenario with each kind of engine."""
        for names_requests in (False, True):

            async def _main(names_requests=names_requests):
                self.group = engine_network.Group(2, 0, names_requests)
                self.group.replace_sockets(self)
                self.upstream = self.group.engines[0].upstream
                self.control = engines.EngineControlClient(_ignore)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.group.run)
                    await anyio.sleep(1)
                    await scenario()
                    tasks.cancel_scope.cancel()

            simulated_time.run(_main)

    async def _order(self, order):
        """Return the outcome of an order."""
        return await self.control.order(self.upstream, order, _FENCE)

    # Guards against ranks that count as armed, held or released though the
    # order to them got lost (MAP).
    def test_second_answer_before_an_order(self):
        """A lost order has no answer, whatever was asked before it."""
        earlier_calls = (
            lambda: self._order(_PREPARE),
            lambda: self._order(_ORDERS[-1]),
            lambda: self.control.report(self.upstream),
            lambda: self.control.choices(self.upstream),
            lambda: self.control.held_experts(self.upstream),
        )
        for order in _ORDERS:
            for call in earlier_calls:

                async def _scenario(order=order, call=call):
                    await call()
                    self.group.scripted_faults = ['doubled', 'lost']
                    outcome = await self._order(order)
                    self.assertIs(_UNANSWERED, outcome, order)

                self._run(_scenario)

    def test_order_sent_again(self):
        """An order that had another's answer is answered on the next try."""

        async def _scenario():
            self.assertIs(_ACCEPTED, await self._order(_PREPARE))
            self.group.scripted_faults = ['doubled', None]
            await self._order(_ARM)
            self.assertIs(_ACCEPTED, await self._order(_ARM))

        self._run(_scenario)

    # Guards against a leader that takes the state of some time ago for that
    # after its fence.
    def test_second_answer_before_a_report(self):
        """A report is not that of an earlier question."""

        async def _scenario():
            await self.control.choices(self.upstream)
            first = await self.control.report(self.upstream)
            await anyio.sleep(1)
            self.group.scripted_faults = ['doubled', None]
            later = await self.control.report(self.upstream)
            self.assertTrue(
                later is None or later.step > first.step + 20, later
            )

        self._run(_scenario)

    def test_connection_with_another_answer(self):
        """Nothing more is asked where an answer did not fit."""

        async def _scenario():
            await self._order(_PREPARE)
            self.group.scripted_faults = ['doubled', None]
            self.assertIsNone(await self.control.choices(self.upstream))
            self.assertEqual(1, self.group.connections)
            self.assertIsNotNone(await self.control.choices(self.upstream))
            self.assertEqual(2, self.group.connections)

        self._run(_scenario)

    def test_counters_before_a_map(self):
        """A map does not count as prepared on the counters of its rank."""

        async def _scenario():
            await self.control.choices(self.upstream)
            self.group.scripted_faults = ['doubled', 'lost']
            self.assertIs(_UNANSWERED, await self._order(_PREPARE))

        self._run(_scenario)

    # New connections are priced, and engines accept a limited number.
    def test_new_connections(self):
        """Answers that name their request need no connection of their own."""

        async def _scenario():
            for order in (_PREPARE, *_ORDERS):
                self.assertIs(_ACCEPTED, await self._order(order))
            await self.control.choices(self.upstream)
            await self.control.choices(self.upstream)
            expected = 1 + len(_ORDERS)
            if self.group.engines[0].names_requests:
                expected = 1
            self.assertEqual(expected, self.group.connections)

        self._run(_scenario)


def _ignore(*_):
    """Ignore what engines say of themselves."""
