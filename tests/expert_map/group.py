"""Simulation of three engines in lock-step and their sidecars.

A step runs when every engine may run it. The simulation compares the maps of
all engines in each step and records a violation if two differ. Faults are
injected at the n-th delivery of a message. A seeded generator can also choose
the order of deliveries.
"""

import collections
import functools
import random
import typing

from nutmegtrail.expert_map import const
from nutmegtrail.expert_map import coordinator
from nutmegtrail.expert_map import member
from nutmegtrail.expert_map import models

NAMES = ('a', 'b', 'c')
FAULTS = (
    'none',
    'dropped',
    'doubled',
    'late',
    'receiver-killed-before',
    'receiver-killed-after',
    'proposer-killed',
    'frozen',
    'held-too-long',
    'order-delayed',
)
_FIRST = models.MapState('m0', 0)
_DELIVERY_LIMIT = 600
_WINDOW = const.RELEASE_WINDOW_STEPS
_STEPS_PER_DELIVERY = 40
_PREPARE_STEPS = len(NAMES) * _STEPS_PER_DELIVERY


class Order(typing.NamedTuple):
    """Order in the socket of an engine, with its fencing token."""

    fence: int
    action: typing.Any


class Engine:
    """Simulated engine with its map, its horizon and its pending orders."""

    def __init__(self, checks_fencing: bool) -> None:
        """Initialize the engine with the first map."""
        self.checks_fencing = checks_fencing
        self.before = _FIRST.map_id
        self.current = _FIRST
        self.horizon = _WINDOW
        self.fence = 0
        self.socket: collections.deque[Order] = collections.deque()

    def apply_next(self) -> None:
        """Apply the first order in the socket, unless it is fenced off."""
        order = self.socket.popleft()
        if self.checks_fencing and order.fence < self.fence:
            return
        if isinstance(order.action, models.OrderSwitch):
            self.before = self.current.map_id
            self.current = order.action.state
        else:
            self.horizon = max(self.horizon, order.action.horizon)

    def map_at(self, step: int) -> str:
        """Return the map that a step would run on."""
        return member.map_for_step(self.current, step, self.before)


class Message(typing.NamedTuple):
    """Message in flight to the member or coordinator of a sidecar."""

    receiver: str
    content: typing.Any


class Group:
    """Simulated group of one test case."""

    def __init__(
        self,
        faults: dict[int, str],
        checks_fencing: bool = True,
        seed: int | None = None,
    ) -> None:
        """Initialize a group that serves with the first map."""
        self.violations: list[str] = []
        self.deliveries = 0
        self.step = 0
        self._faults = faults
        self._generator = None if seed is None else random.Random(seed)
        self._messages: collections.deque[Message] = collections.deque()
        self._frozen: set[str] = set()
        self._postponed: list[Message] = []
        self._delayed_sockets: set[str] = set()
        self._engines_by_name = {name: Engine(checks_fencing) for name in NAMES}
        self._restarts_by_name = dict.fromkeys(NAMES, 0)
        self._coordinations_by_name: dict[str, models.Coordination] = {}
        self._members_by_name = {
            name: models.Member(
                name,
                models.Phase.SERVING,
                _FIRST,
                _WINDOW,
                staged_map_ids=frozenset(('m0', 'm1', 'm2')),
            )
            for name in NAMES
        }

    def propose(self, name: str, map_id: str) -> None:
        """Let a sidecar propose a map, if it is serving."""
        proposer = self._members_by_name[name]
        if proposer.phase is not models.Phase.SERVING:
            return
        counter = proposer.promised.counter + 1
        ballot = models.Ballot(counter, self._incarnation(name))
        state = models.MapState(map_id, proposer.horizon + _PREPARE_STEPS)
        decision = coordinator.propose(ballot, frozenset(NAMES), state)
        self._coordinate(name, decision)

    def pass_switch(self) -> None:
        """Run steps until a decided switch has taken effect."""
        for _ in range(len(NAMES) + 1):
            self._run_steps()

    def run(self) -> None:
        """Deliver all messages, with steps in between."""
        limit = self.deliveries + _DELIVERY_LIMIT
        while self._messages and self.deliveries < limit:
            self._deliver(self._next())
            self._run_steps()
        if self._messages:
            self.violations.append('the messages do not come to an end')

    def settle(self) -> None:
        """End the faults and resolve until all members serve again."""
        self._faults = {}
        self._frozen.clear()
        self._delayed_sockets.clear()
        self._messages.extend(self._postponed)
        self._postponed.clear()
        self.run()
        for name in NAMES * 2:
            self._decide(name, models.DecisionTimedOut())
            self.run()

    def check(self) -> list[str]:
        """Return all violations; the group must make progress again."""
        before = self.step
        self._run_steps()
        self._run_steps()
        if self.step == before:
            self.violations.append('the group stands still')
        return self.violations

    def current_map(self) -> str:
        """Return the map of the next step of the group."""
        return self._engines_by_name['a'].map_at(self.step + 1)

    def _next(self) -> Message:
        """Return the next message to deliver."""
        if self._generator is not None:
            self._messages.rotate(self._generator.randrange(8))
        return self._messages.popleft()

    def _deliver(self, message: Message) -> None:
        """Deliver one message with the fault of this delivery."""
        self.deliveries += 1
        fault = self._faults.get(self.deliveries, 'none')
        receiver = message.receiver
        if fault == 'frozen':
            self._frozen.add(receiver)
        if receiver in self._frozen:
            self._postponed.append(message)
        elif fault == 'late':
            self._postponed.append(message)
        elif fault == 'receiver-killed-before':
            self._restart(receiver)
        elif fault != 'dropped':
            self._receive(message, fault)

    def _receive(self, message: Message, fault: str) -> None:
        """Let a sidecar handle a message, with faults around it."""
        receiver = message.receiver
        if fault == 'order-delayed':
            self._delayed_sockets.add(receiver)
        if fault == 'doubled':
            self._messages.append(message)
        self._dispatch(receiver, message.content)
        if fault == 'receiver-killed-after':
            self._restart(receiver)
        if fault == 'proposer-killed':
            self._restart('a')
        if fault == 'held-too-long':
            self._decide(receiver, models.DecisionTimedOut())

    def _dispatch(self, name: str, content: typing.Any) -> None:
        """Pass a message to the member or to the coordinator."""
        if not isinstance(content, models.Promise | models.Report):
            self._decide(name, content)
            return
        coordination = self._coordinations_by_name.get(name)
        if coordination is not None:
            self._coordinate(name, coordinator.decide(content, coordination))

    def _decide(self, name: str, event: typing.Any) -> None:
        """Apply an event to a member and perform its actions."""
        decision = member.decide(event, self._members_by_name[name])
        self._members_by_name[name] = decision.member
        for action in decision.actions:
            _perform(action, self, name)

    def _coordinate(
        self,
        name: str,
        decision: models.CoordinatorDecision,
    ) -> None:
        """Adopt a decision of the coordinator and perform its actions."""
        self._coordinations_by_name[name] = decision.coordination
        for action in decision.actions:
            if isinstance(action, models.Broadcast):
                self._messages.extend(
                    Message(other, action.message) for other in NAMES
                )
            else:
                self._resolve(name, action.ballot)

    def _incarnation(self, name: str) -> str:
        """Return the name of the current incarnation of a sidecar."""
        return f'{name}/{self._restarts_by_name[name]}'

    def _resolve(self, name: str, above: models.Ballot) -> None:
        """Start a resolution with a higher ballot."""
        incarnation = self._incarnation(name)
        decision = coordinator.resolve(above, incarnation, frozenset(NAMES))
        self._coordinate(name, decision)

    def _restart(self, name: str) -> None:
        """Restart a sidecar; its engine and the pending orders remain."""
        engine = self._engines_by_name[name]
        self._restarts_by_name[name] += 1
        self._coordinations_by_name.pop(name, None)
        self._members_by_name[name] = models.Member(
            name,
            models.Phase.RECOVERING,
            _FIRST,
            0,
            staged_map_ids=frozenset(('m0', 'm1', 'm2')),
        )
        if engine.checks_fencing:
            engine.fence += 1
        else:
            self._wait_for_orders(engine)
        state = models.EngineStateRead(
            engine.current, engine.horizon, self.step
        )
        self._decide(name, state)

    def _wait_for_orders(self, engine: Engine) -> None:
        """Wait longer than the lifetime of an order."""
        while engine.socket:
            engine.apply_next()

    def _order(self, name: str, action: typing.Any) -> None:
        """Put an order into the socket of an engine."""
        engine = self._engines_by_name[name]
        engine.socket.append(Order(engine.fence, action))

    def _run_steps(self) -> None:
        """Apply pending orders, then run the steps that all engines may run."""
        for name, engine in self._engines_by_name.items():
            while engine.socket and name not in self._delayed_sockets:
                engine.apply_next()
        engines = self._engines_by_name.values()
        last_step = min(engine.horizon for engine in engines)
        last_step = min(last_step, self.step + _STEPS_PER_DELIVERY)
        while self.step < last_step:
            self.step += 1
            maps = {engine.map_at(self.step) for engine in engines}
            if len(maps) > 1:
                self.violations.append(
                    f'step {self.step} ran on {sorted(maps)}'
                )
        for name in NAMES:
            if name not in self._frozen:
                self._decide(name, models.StepCompleted(self.step))


@functools.singledispatch
def _perform(action: typing.Any, group: Group, name: str) -> None:
    """Send an order to the engine."""
    group._order(name, action)


@_perform.register
def _(action: models.Reply, group: Group, name: str) -> None:
    incarnation = action.message.ballot.coordinator
    receiver = incarnation.partition('/')[0]
    group._messages.append(Message(receiver, action.message))


@_perform.register
def _(action: models.Resolve, group: Group, name: str) -> None:
    group._resolve(name, action.above)
