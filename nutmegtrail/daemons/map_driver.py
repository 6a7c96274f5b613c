"""Drives the switch of expert maps for the engine beside a sidecar."""

import functools
import math
import random
import time
import typing
import uuid

import anyio
import anyio.abc
import numpy as np

from nutmegtrail.daemons import map_messages
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.expert_map import const
from nutmegtrail.expert_map import coordinator
from nutmegtrail.expert_map import member as member_decisions
from nutmegtrail.expert_map import models
from nutmegtrail.expert_map import placement
from nutmegtrail.idempotency import models as idempotency_models
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_engine
from nutmegtrail.wire import models as wire_models

_Order: typing.TypeAlias = models.OrderSwitch | models.OrderHorizon


class Place(typing.NamedTuple):
    """A sidecar's place in its group."""

    group: str
    owner: idempotency_models.Owner
    size: int
    checks_fencing: bool


class MapDriver:
    """Holds a member's state; orders go to the engine one by one."""

    def __init__(
        self,
        place: Place,
        engine: rank_engine.RankEngine,
        mesh: peer_mesh.PeerMesh,
        generator: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Keep the collaborators; the engine is not read yet."""
        self.member = models.Member(
            place.owner.upstream,
            models.Phase.RECOVERING,
            models.MapState('', 0),
            horizon=0,
        )
        self._place = place
        self._engine = engine
        self._mesh = mesh
        self._generator = generator
        self._tasks = tasks
        self._fence = 0
        self._coordination: models.Coordination | None = None
        self._changed_at_seconds = time.monotonic()
        streams = anyio.create_memory_object_stream[_Order](math.inf)
        self._orders = streams[0]
        self._orders_to_send = streams[1]

    @property
    def members(self) -> tuple[str, ...]:
        """Return the group's members in the order of their ranks."""
        return tuple(sorted({self.member.name, *self._mesh.hosts}))

    @property
    def is_complete(self) -> bool:
        """Return whether every member of the group is known."""
        return len(self.members) == self._place.size

    async def run(self) -> None:
        """Recover, then follow the engine until cancelled."""
        self._tasks.start_soon(self._send_orders)
        await self._recover()
        while True:
            await anyio.sleep(const.ENGINE_POLL_SECONDS)
            state = await self._engine.read()
            if state.is_ok():
                self._decide(models.StepCompleted(state.ok.completed))
            self._resolve_if_held()

    def receive(self, message: wire_models.Message) -> None:
        """Take a message of another member."""
        if isinstance(message, wire_models.MapStage):
            slots = np.array(message.slots, dtype=np.int64)
            staged = slots.reshape(self._place.size, -1)
            self.stage(message.map_id, placement.Placement(staged))
            return
        content = map_messages.decode(message)
        if content is not None:
            self._take(content)

    def stage(self, map_id: str, staged: placement.Placement) -> None:
        """Order the engine to load a map; promises follow once it has."""
        self._tasks.start_soon(self._stage, map_id, staged)

    def spread(self, staged: placement.Placement) -> str:
        """Let every member stage a map; return the map's identifier."""
        map_id = uuid.uuid4().hex
        flat = tuple(int(expert) for expert in staged.slots.ravel())
        message = wire_models.MapStage(self._place.group, map_id, flat)
        for host in self._mesh.hosts:
            self._mesh.send(host, message)
        self.stage(map_id, staged)
        return map_id

    def propose(self, map_id: str) -> None:
        """Propose a staged map while no decision is awaited."""
        serving = self.member.phase is models.Phase.SERVING
        if not serving or not self.is_complete:
            return
        ballot = models.Ballot(
            self.member.promised.counter + 1,
            self._place.owner.incarnation,
        )
        since_step = self.member.horizon + const.SWITCH_MARGIN_STEPS
        proposal = models.MapState(map_id, since_step)
        members = frozenset(self.members)
        self._coordinate(coordinator.propose(ballot, members, proposal))

    async def _recover(self) -> None:
        """Read the engine where no order of a former self can follow."""
        state = await self._read_settled()
        self._decide(
            models.EngineStateRead(
                state.current, state.horizon, state.completed
            ),
        )

    async def _read_settled(self) -> rank_engine.EngineState:
        """Return the engine's state when no earlier order can change it."""
        if not self._place.checks_fencing:
            await anyio.sleep(const.ORDER_LIFETIME_SECONDS)
            return await self._read()
        state = await self._read()
        self._fence = max(state.fence, self._fence) + 1
        done = await self._engine.fence(self._fence)
        while done.is_error():
            await anyio.sleep(const.ENGINE_POLL_SECONDS)
            done = await self._engine.fence(self._fence)
        return await self._read()

    async def _read(self) -> rank_engine.EngineState:
        """Return the engine's state as soon as it answers."""
        while True:
            state = await self._engine.read()
            if state.is_ok():
                return state.ok
            await anyio.sleep(const.ENGINE_POLL_SECONDS)

    async def _stage(self, map_id: str, staged: placement.Placement) -> None:
        """Have the engine load a map and note that it has."""
        done = await self._engine.stage(map_id, staged, self._fence)
        if done.is_ok():
            self._decide(models.MapStaged(map_id))

    async def _send_orders(self) -> None:
        """Send the orders one by one, each until the engine has it."""
        async for order in self._orders_to_send:
            done = await self._send(order)
            while done.is_error():
                if await self._took_effect(order):
                    break
                done = await self._send(order)

    async def _send(self, order: _Order) -> rank_engine.OrderResult:
        """Send an order under the present fencing number."""
        if isinstance(order, models.OrderSwitch):
            return await self._engine.switch(order.state, self._fence)
        return await self._engine.release(order.horizon, self._fence)

    async def _took_effect(self, order: _Order) -> bool:
        """Return whether an order with a lost answer was carried out.

        A switch that is sent twice could take the engine off its present
        map early, so the first one must not be able to follow.
        """
        await anyio.sleep(const.ENGINE_POLL_SECONDS)
        state = await self._read_settled()
        if isinstance(order, models.OrderSwitch):
            return state.current == order.state
        return state.horizon >= order.horizon

    def _resolve_if_held(self) -> None:
        """Resolve where a decision has not come for a while."""
        if self.member.phase is models.Phase.SERVING or not self.is_complete:
            return
        spread = self._generator.uniform(1, 2)
        held_seconds = time.monotonic() - self._changed_at_seconds
        if held_seconds > const.DECISION_TIMEOUT_SECONDS * spread:
            self._changed_at_seconds = time.monotonic()
            self._decide(models.DecisionTimedOut())

    def _take(self, content: map_messages.Content) -> None:
        """Hand a message to the member or to the coordinator."""
        if not isinstance(content, models.Promise | models.Report):
            self._decide(content)
        elif self._coordination is not None:
            decided = coordinator.decide(content, self._coordination)
            self._coordinate(decided)

    def _decide(self, event: models.MemberEvent) -> None:
        """Let the member decide and perform its actions."""
        before = self.member
        decision = member_decisions.decide(event, before)
        self.member = decision.member
        if decision.member.phase is not before.phase:
            self._changed_at_seconds = time.monotonic()
        for action in decision.actions:
            _perform(action, self)

    def _coordinate(self, decision: models.CoordinatorDecision) -> None:
        """Take a coordinator's decision over and perform its actions."""
        self._coordination = decision.coordination
        for action in decision.actions:
            if isinstance(action, models.Broadcast):
                self._broadcast(action.message)
            else:
                self._resolve(action.ballot)

    def _resolve(self, above: models.Ballot) -> None:
        """Start a resolution above a ballot."""
        started = coordinator.resolve(
            above,
            self._place.owner.incarnation,
            frozenset(self.members),
        )
        self._coordinate(started)

    def _broadcast(self, content: map_messages.Content) -> None:
        """Send a message to every member, this one included."""
        message = map_messages.encode(content, self._place.group)
        for host in self._mesh.hosts:
            self._mesh.send(host, message)
        self._take(content)

    def _reply(self, content: models.Promise | models.Report) -> None:
        """Send an answer to the coordinator that asked."""
        receiver = content.ballot.coordinator.partition('/')[0]
        if receiver == self.member.name:
            self._take(content)
        else:
            message = map_messages.encode(content, self._place.group)
            self._mesh.send(receiver, message)


@functools.singledispatch
def _perform(action: models.MemberAction, driver: MapDriver) -> None:
    """Perform a member's action."""
    raise TypeError(f'unknown action {action!r}')


@_perform.register
def _perform_reply(action: models.Reply, driver: MapDriver) -> None:
    """Answer a coordinator."""
    driver._reply(action.message)


@_perform.register
def _perform_switch(action: models.OrderSwitch, driver: MapDriver) -> None:
    """Order the engine to switch."""
    logs.decision(
        'expert-map:switch',
        upstream=driver.member.name,
        map_id=action.state.map_id,
        since_step=action.state.since_step,
        ballot=list(driver.member.promised),
    )
    driver._orders.send_nowait(action)


@_perform.register
def _perform_horizon(action: models.OrderHorizon, driver: MapDriver) -> None:
    """Allow the engine further steps."""
    driver._orders.send_nowait(action)


@_perform.register
def _perform_resolve(action: models.Resolve, driver: MapDriver) -> None:
    """Start a resolution once the whole group is known."""
    if driver.is_complete:
        driver._resolve(action.above)
