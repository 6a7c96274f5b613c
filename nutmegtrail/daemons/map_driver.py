"""Runs the expert map switch protocol for the engine beside a sidecar."""

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


class GroupMembership(typing.NamedTuple):
    """The rank group of a sidecar and its identity there."""

    group: str
    owner: idempotency_models.Owner
    size: int
    checks_fencing: bool


class MapDriver:
    """Holds a member's protocol state and sends its engine orders in turn."""

    def __init__(
        self,
        membership: GroupMembership,
        engine: rank_engine.RankEngine,
        mesh: peer_mesh.PeerMesh,
        generator: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Initialize the member as recovering, before reading the engine."""
        self.member = models.Member(
            membership.owner.upstream,
            models.Phase.RECOVERING,
            models.MapState('', 0),
            horizon=0,
        )
        self._membership = membership
        self._engine = engine
        self._mesh = mesh
        self._generator = generator
        self._tasks = tasks
        self._fencing_token = 0
        self._coordination: models.Coordination | None = None
        self._waiting_since_seconds = time.monotonic()
        streams = anyio.create_memory_object_stream[_Order](math.inf)
        self._order_sender = streams[0]
        self._order_receiver = streams[1]

    @property
    def members(self) -> tuple[str, ...]:
        """Return the names of the known group members, sorted."""
        return tuple(sorted({self.member.name, *self._mesh.hosts}))

    @property
    def has_all_members(self) -> bool:
        """Return whether every member of the group is known."""
        return len(self.members) == self._membership.size

    async def run(self) -> None:
        """Recover, then poll the engine until cancelled."""
        self._tasks.start_soon(self._send_orders)
        await self._recover()
        while True:
            await anyio.sleep(const.ENGINE_POLL_SECONDS)
            state = await self._engine.read()
            if state.is_ok():
                self._apply_member_event(
                    models.StepCompleted(state.ok.completed)
                )
            self._resolve_if_stalled()

    def receive(self, wire_message: wire_models.Message) -> None:
        """Handle a message from another member."""
        if isinstance(wire_message, wire_models.MapStage):
            slots = np.array(wire_message.slots, dtype=np.int64)
            staged = slots.reshape(self._membership.size, -1)
            self.stage(wire_message.map_id, placement.Placement(staged))
            return
        protocol_message = map_messages.decode(wire_message)
        if protocol_message is not None:
            self._dispatch(protocol_message)

    def stage(self, map_id: str, staged: placement.Placement) -> None:
        """Order the engine to load a map.

        The member promises the map only once the engine has loaded it.
        """
        self._tasks.start_soon(self._stage, map_id, staged)

    def stage_on_all_members(self, staged: placement.Placement) -> str:
        """Stage a new map on every member; return the map's identifier."""
        map_id = uuid.uuid4().hex
        flat_slots = tuple(int(expert) for expert in staged.slots.ravel())
        wire_message = wire_models.MapStage(
            self._membership.group, map_id, flat_slots
        )
        for host in self._mesh.hosts:
            self._mesh.send(host, wire_message)
        self.stage(map_id, staged)
        return map_id

    def propose(self, map_id: str) -> None:
        """Propose a staged map unless a decision is pending."""
        is_serving = self.member.phase is models.Phase.SERVING
        if not is_serving or not self.has_all_members:
            return
        ballot = models.Ballot(
            self.member.promised.counter + 1,
            self._membership.owner.incarnation,
        )
        since_step = self.member.horizon + const.SWITCH_MARGIN_STEPS
        proposal = models.MapState(map_id, since_step)
        members = frozenset(self.members)
        self._apply_coordinator_decision(
            coordinator.propose(ballot, members, proposal)
        )

    async def _recover(self) -> None:
        """Read the engine once no order of an earlier incarnation can act."""
        state = await self._read_stable_state()
        self._apply_member_event(
            models.EngineStateRead(
                state.current, state.horizon, state.completed
            ),
        )

    async def _read_stable_state(self) -> rank_engine.EngineState:
        """Return the engine's state once no earlier order can change it.

        A new fencing token rejects earlier orders. An engine that ignores
        fencing is read after the lifetime of an order instead.
        """
        if not self._membership.checks_fencing:
            await anyio.sleep(const.ORDER_LIFETIME_SECONDS)
            return await self._read_until_answered()
        state = await self._read_until_answered()
        self._fencing_token = max(state.fence, self._fencing_token) + 1
        outcome = await self._engine.fence(self._fencing_token)
        while outcome.is_error():
            await anyio.sleep(const.ENGINE_POLL_SECONDS)
            outcome = await self._engine.fence(self._fencing_token)
        return await self._read_until_answered()

    async def _read_until_answered(self) -> rank_engine.EngineState:
        """Read the engine's state, retrying until it answers."""
        while True:
            state = await self._engine.read()
            if state.is_ok():
                return state.ok
            await anyio.sleep(const.ENGINE_POLL_SECONDS)

    async def _stage(self, map_id: str, staged: placement.Placement) -> None:
        """Load a map at the engine and record it as staged."""
        outcome = await self._engine.stage(map_id, staged, self._fencing_token)
        if outcome.is_ok():
            self._apply_member_event(models.MapStaged(map_id))

    async def _send_orders(self) -> None:
        """Send the queued orders in turn, each until it has taken effect."""
        async for order in self._order_receiver:
            outcome = await self._send(order)
            while outcome.is_error():
                if await self._took_effect(order):
                    break
                outcome = await self._send(order)

    async def _send(self, order: _Order) -> rank_engine.OrderResult:
        """Send an order with the current fencing token."""
        if isinstance(order, models.OrderSwitch):
            return await self._engine.switch(order.state, self._fencing_token)
        return await self._engine.release(order.horizon, self._fencing_token)

    async def _took_effect(self, order: _Order) -> bool:
        """Return whether an order whose response was lost has taken effect.

        A switch that arrives twice could move the engine off its current
        map too early, so the first one must be unable to act afterwards.
        """
        await anyio.sleep(const.ENGINE_POLL_SECONDS)
        state = await self._read_stable_state()
        if isinstance(order, models.OrderSwitch):
            return state.current == order.state
        return state.horizon >= order.horizon

    def _resolve_if_stalled(self) -> None:
        """Start a resolution when a decision is overdue.

        Random jitter keeps the members from resolving at the same time.
        """
        if (
            self.member.phase is models.Phase.SERVING
            or not self.has_all_members
        ):
            return
        jitter = self._generator.uniform(1, 2)
        stalled_seconds = time.monotonic() - self._waiting_since_seconds
        if stalled_seconds > const.DECISION_TIMEOUT_SECONDS * jitter:
            self._waiting_since_seconds = time.monotonic()
            self._apply_member_event(models.DecisionTimedOut())

    def _dispatch(self, protocol_message: map_messages.ProtocolMessage) -> None:
        """Pass a message to the member or to the coordinator."""
        if not isinstance(protocol_message, models.Promise | models.Report):
            self._apply_member_event(protocol_message)
        elif self._coordination is not None:
            decision = coordinator.decide(protocol_message, self._coordination)
            self._apply_coordinator_decision(decision)

    def _apply_member_event(self, event: models.MemberEvent) -> None:
        """Apply an event to the member and perform the resulting actions."""
        previous = self.member
        decision = member_decisions.decide(event, previous)
        self.member = decision.member
        if decision.member.phase is not previous.phase:
            self._waiting_since_seconds = time.monotonic()
        for action in decision.actions:
            _perform(action, self)

    def _apply_coordinator_decision(
        self, decision: models.CoordinatorDecision
    ) -> None:
        """Store the coordinator's new state and perform its actions."""
        self._coordination = decision.coordination
        for action in decision.actions:
            if isinstance(action, models.Broadcast):
                self._broadcast(action.message)
            else:
                self._resolve(action.ballot)

    def _resolve(self, above: models.Ballot) -> None:
        """Start a resolution with a ballot higher than the given one."""
        resolution = coordinator.resolve(
            above,
            self._membership.owner.incarnation,
            frozenset(self.members),
        )
        self._apply_coordinator_decision(resolution)

    def _broadcast(
        self, protocol_message: map_messages.ProtocolMessage
    ) -> None:
        """Send a message to every member, including this one."""
        wire_message = map_messages.encode(
            protocol_message, self._membership.group
        )
        for host in self._mesh.hosts:
            self._mesh.send(host, wire_message)
        self._dispatch(protocol_message)

    def _reply(self, protocol_message: models.Promise | models.Report) -> None:
        """Send a reply to the coordinator of its ballot."""
        receiver = protocol_message.ballot.coordinator.partition('/')[0]
        if receiver == self.member.name:
            self._dispatch(protocol_message)
        else:
            wire_message = map_messages.encode(
                protocol_message, self._membership.group
            )
            self._mesh.send(receiver, wire_message)


@functools.singledispatch
def _perform(action: models.MemberAction, driver: MapDriver) -> None:
    """Perform an action of the member."""
    raise TypeError(f'no handler for member action {action!r}')


@_perform.register
def _perform_reply(action: models.Reply, driver: MapDriver) -> None:
    """Reply to a coordinator."""
    driver._reply(action.message)


@_perform.register
def _perform_switch(action: models.OrderSwitch, driver: MapDriver) -> None:
    """Log a switch and queue its order for the engine."""
    logs.decision(
        'expert-map:switch',
        upstream=driver.member.name,
        map_id=action.state.map_id,
        since_step=action.state.since_step,
        ballot=list(driver.member.promised),
    )
    driver._order_sender.send_nowait(action)


@_perform.register
def _perform_horizon(action: models.OrderHorizon, driver: MapDriver) -> None:
    """Queue an order that allows the engine further steps."""
    driver._order_sender.send_nowait(action)


@_perform.register
def _perform_resolve(action: models.Resolve, driver: MapDriver) -> None:
    """Start a resolution if every member of the group is known."""
    if driver.has_all_members:
        driver._resolve(action.above)
