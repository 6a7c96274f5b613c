"""Three engines in lock-step and their sidecars, message by message.

A step runs when every engine may run it; the world records each engine's
map for each step and breaks if two differ. Faults strike at the n-th
delivery; a seeded generator may also choose the order of deliveries.
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
    """An order in an engine's socket and its fencing number."""

    fence: int
    action: typing.Any


class Engine:
    """An engine with its map, its horizon and the orders on their way."""

    def __init__(self, checks_fencing: bool) -> None:
        """Start on the first map."""
        self.checks_fencing = checks_fencing
        self.before = _FIRST.map_id
        self.current = _FIRST
        self.horizon = _WINDOW
        self.fence = 0
        self.socket: collections.deque[Order] = collections.deque()

    def apply_next(self) -> None:
        """Apply the first order in the socket."""
        order = self.socket.popleft()
        if self.checks_fencing and order.fence < self.fence:
            return
        if isinstance(order.action, models.OrderSwitch):
            self.before = self.current.map_id
            self.current = order.action.state
        else:
            self.horizon = max(self.horizon, order.action.horizon)

    def map_at(self, step: int) -> str:
        """Return the map on which a step would run."""
        return member.map_for_step(self.current, step, self.before)


class Message(typing.NamedTuple):
    """A message on its way to a sidecar's member or coordinator."""

    receiver: str
    content: typing.Any


class Group:
    """The world of one case."""

    def __init__(
        self,
        faults: dict[int, str],
        checks_fencing: bool = True,
        seed: int | None = None,
    ) -> None:
        """Start a group that serves on the first map."""
        self.broken: list[str] = []
        self.deliveries = 0
        self.step = 0
        self._faults = faults
        self._generator = None if seed is None else random.Random(seed)
        self._messages: collections.deque[Message] = collections.deque()
        self._frozen: set[str] = set()
        self._set_aside: list[Message] = []
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
                staged_ids=frozenset(('m0', 'm1', 'm2')),
            )
            for name in NAMES
        }

    def propose(self, name: str, map_id: str) -> None:
        """Let a sidecar propose a map."""
        own = self._members_by_name[name]
        if own.phase is not models.Phase.SERVING:
            return
        counter = own.promised.counter + 1
        ballot = models.Ballot(counter, self._incarnation(name))
        state = models.MapState(map_id, own.horizon + _PREPARE_STEPS)
        started = coordinator.propose(ballot, frozenset(NAMES), state)
        self._coordinate(name, started)

    def pass_switch(self) -> None:
        """Let steps run until a decided switch has taken effect."""
        for _ in range(len(NAMES) + 1):
            self._run_steps()

    def run(self) -> None:
        """Deliver all messages; let steps run in between."""
        limit = self.deliveries + _DELIVERY_LIMIT
        while self._messages and self.deliveries < limit:
            self._deliver(self._next())
            self._run_steps()
        if self._messages:
            self.broken.append('the messages do not come to an end')

    def settle(self) -> None:
        """End the faults; held members resolve until all serve."""
        self._faults = {}
        self._frozen.clear()
        self._delayed_sockets.clear()
        self._messages.extend(self._set_aside)
        self._set_aside.clear()
        self.run()
        for name in NAMES * 2:
            self._decide(name, models.DecisionTimedOut())
            self.run()

    def check(self) -> list[str]:
        """Return the broken promises; all members must serve again."""
        before = self.step
        self._run_steps()
        self._run_steps()
        if self.step == before:
            self.broken.append('the group stands still')
        return self.broken

    def map_in_force(self) -> str:
        """Return the map of the group's next step."""
        return self._engines_by_name['a'].map_at(self.step + 1)

    def _next(self) -> Message:
        """Return the next message to deliver."""
        if self._generator is not None:
            self._messages.rotate(self._generator.randrange(8))
        return self._messages.popleft()

    def _deliver(self, message: Message) -> None:
        """Deliver one message under the fault that strikes now."""
        self.deliveries += 1
        fault = self._faults.get(self.deliveries, 'none')
        receiver = message.receiver
        if fault == 'frozen':
            self._frozen.add(receiver)
        if receiver in self._frozen:
            self._set_aside.append(message)
        elif fault == 'late':
            self._set_aside.append(message)
        elif fault == 'receiver-killed-before':
            self._restart(receiver)
        elif fault != 'dropped':
            self._receive(message, fault)

    def _receive(self, message: Message, fault: str) -> None:
        """Let a sidecar take a message."""
        receiver = message.receiver
        if fault == 'order-delayed':
            self._delayed_sockets.add(receiver)
        if fault == 'doubled':
            self._messages.append(message)
        self._take(receiver, message.content)
        if fault == 'receiver-killed-after':
            self._restart(receiver)
        if fault == 'proposer-killed':
            self._restart('a')
        if fault == 'held-too-long':
            self._decide(receiver, models.DecisionTimedOut())

    def _take(self, name: str, content: typing.Any) -> None:
        """Hand a message to the member or to the coordinator."""
        if not isinstance(content, models.Promise | models.Report):
            self._decide(name, content)
            return
        coordination = self._coordinations_by_name.get(name)
        if coordination is not None:
            self._coordinate(name, coordinator.decide(content, coordination))

    def _decide(self, name: str, event: typing.Any) -> None:
        """Let a member decide and perform its actions."""
        decision = member.decide(event, self._members_by_name[name])
        self._members_by_name[name] = decision.member
        for action in decision.actions:
            _perform(action, self, name)

    def _coordinate(
        self,
        name: str,
        decision: models.CoordinatorDecision,
    ) -> None:
        """Take a coordinator's decision over and perform its actions."""
        self._coordinations_by_name[name] = decision.coordination
        for action in decision.actions:
            if isinstance(action, models.Broadcast):
                self._messages.extend(
                    Message(other, action.message) for other in NAMES
                )
            else:
                self._resolve(name, action.ballot)

    def _incarnation(self, name: str) -> str:
        """Return the name of a sidecar's present incarnation."""
        return f'{name}/{self._restarts_by_name[name]}'

    def _resolve(self, name: str, above: models.Ballot) -> None:
        """Start a resolution."""
        incarnation = self._incarnation(name)
        started = coordinator.resolve(above, incarnation, frozenset(NAMES))
        self._coordinate(name, started)

    def _restart(self, name: str) -> None:
        """Replace a sidecar; the engine and its socket live on."""
        engine = self._engines_by_name[name]
        self._restarts_by_name[name] += 1
        self._coordinations_by_name.pop(name, None)
        self._members_by_name[name] = models.Member(
            name,
            models.Phase.RECOVERING,
            _FIRST,
            0,
            staged_ids=frozenset(('m0', 'm1', 'm2')),
        )
        if engine.checks_fencing:
            engine.fence += 1
        else:
            self._wait_for_orders(engine)
        read = models.EngineStateRead(engine.current, engine.horizon, self.step)
        self._decide(name, read)

    def _wait_for_orders(self, engine: Engine) -> None:
        """Wait longer than an order can live."""
        while engine.socket:
            engine.apply_next()

    def _order(self, name: str, action: typing.Any) -> None:
        """Put an order into the engine's socket."""
        engine = self._engines_by_name[name]
        engine.socket.append(Order(engine.fence, action))

    def _run_steps(self) -> None:
        """Apply the orders, then run the steps that all engines may run."""
        for name, engine in self._engines_by_name.items():
            while engine.socket and name not in self._delayed_sockets:
                engine.apply_next()
        engines = self._engines_by_name.values()
        last = min(engine.horizon for engine in engines)
        last = min(last, self.step + _STEPS_PER_DELIVERY)
        while self.step < last:
            self.step += 1
            maps = {engine.map_at(self.step) for engine in engines}
            if len(maps) > 1:
                self.broken.append(f'step {self.step} ran on {sorted(maps)}')
        for name in NAMES:
            if name not in self._frozen:
                self._decide(name, models.StepCompleted(self.step))


@functools.singledispatch
def _perform(action: typing.Any, world: Group, name: str) -> None:
    """Send an order to the engine."""
    world._order(name, action)


@_perform.register
def _(action: models.Reply, world: Group, name: str) -> None:
    incarnation = action.message.ballot.coordinator
    receiver = incarnation.partition('/')[0]
    world._messages.append(Message(receiver, action.message))


@_perform.register
def _(action: models.Resolve, world: Group, name: str) -> None:
    world._resolve(name, action.above)
