"""Switch of a rank group to a new map by orders to its engines.

The group is held before a step, every rank is armed for that step, and
only then is the group let go. A successor that finds a held group arms all
ranks and lets go, which agrees with its predecessor even if that one wakes
up in between. Where a rank has prepared another version since, the held
one can not be completed by anybody: the successor disarms all ranks.

An order without an answer may be carried out later. Ranks are therefore
disarmed only under a higher fence than that of all arming orders.
"""

import enum
import functools
import typing

from nutmegtrail.expert_map import layer_placement

# Steps between the newest known one and the one that is held: reports are
# some 200 ms old and a step takes 20 ms or more.
HOLD_MARGIN_STEPS: typing.Final = 4
# Where orders get lost, all ranks are armed only after some repetitions.
HOLD_MARGIN_LOSSY_STEPS: typing.Final = 7
HOLD_ATTEMPTS: typing.Final = 10


class Operation(enum.Enum):
    """What an engine can be told."""

    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    DISARM = 'disarm'
    RELEASE = 'go'


class Order(typing.NamedTuple):
    """An order to an engine, valid in one epoch of its group."""

    operation: Operation
    epoch: int
    version: int | None = None
    step: int | None = None
    layers: layer_placement.Layers | None = None


class Report(typing.NamedTuple):
    """An engine's state; `held` is a step, the rest are versions."""

    epoch: int
    step: int
    map_version: int
    prepared: int | None
    armed: int | None
    held: int | None


class Phase(enum.Enum):
    """How far a switch has come."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    DISARMING = 'disarming'
    RELEASING = 'releasing'
    DONE = 'done'
    ABANDONED = 'abandoned'
    STUCK = 'stuck'


FINAL: typing.Final = frozenset((Phase.DONE, Phase.ABANDONED, Phase.STUCK))
# Phases in which the group may be held until a successor goes on.
UNFINISHED: typing.Final = frozenset(
    (
        Phase.HOLDING,
        Phase.ARMING,
        Phase.DISARMING,
        Phase.RELEASING,
        Phase.STUCK,
    ),
)


class Switch(typing.NamedTuple):
    """A switch under way; `member_ids` are in the order of the ranks."""

    member_ids: tuple[str, ...]
    epoch: int
    version: int
    layers: layer_placement.Layers | None
    phase: Phase
    newest_step: int = 0
    held_step: int = 0
    holder_id: str = ''
    hold_attempts: int = 0
    hold_margin_steps: int = HOLD_MARGIN_STEPS
    prepared_ids: frozenset[str] = frozenset()
    armed_ids: frozenset[str] = frozenset()
    disarmed_ids: frozenset[str] = frozenset()


class Send(typing.NamedTuple):
    """Send an order to an engine until it is answered."""

    upstream_id: str
    order: Order


class Decision(typing.NamedTuple):
    """The next state of a switch and the orders to send."""

    switch: Switch
    sends: tuple[Send, ...] = ()


class Accepted(typing.NamedTuple):
    """An engine has begun or already done an order."""

    upstream_id: str
    order: Order


class Refused(typing.NamedTuple):
    """An order did not fit the engine's state."""

    upstream_id: str
    order: Order


class Unanswered(typing.NamedTuple):
    """An order got no answer; it will be sent again."""

    upstream_id: str
    order: Order


class Reported(typing.NamedTuple):
    """An engine's report was read."""

    upstream_id: str
    report: Report


Event: typing.TypeAlias = Accepted | Refused | Unanswered | Reported


def begin(
    member_ids: tuple[str, ...],
    epoch: int,
    version: int,
    layers: layer_placement.Layers,
    last_held_step: int = 0,
) -> Decision:
    """Start a switch: every rank prepares the map.

    A step that was held before is not held again: a late order to let go
    would end the new hold.
    """
    started = Switch(
        member_ids,
        epoch,
        version,
        layers,
        Phase.PREPARING,
        newest_step=last_held_step,
    )
    order = Order(Operation.PREPARE, epoch, version, layers=layers)
    return Decision(
        started,
        tuple(Send(member, order) for member in member_ids),
    )


def resume(
    member_ids: tuple[str, ...],
    reports_by_id: typing.Mapping[str, Report],
) -> Decision | None:
    """Complete the switch of a predecessor, None where none is under way."""
    holders = [
        member
        for member in member_ids
        if reports_by_id[member].held is not None
    ]
    if not holders:
        return None
    holder = holders[0]
    step = reports_by_id[holder].held or 0
    epoch = reports_by_id[holder].epoch
    reports = [reports_by_id[member] for member in member_ids]
    prepared = {report.prepared or 0 for report in reports}
    armed = {report.armed or 0 for report in reports} - {0}
    found = Switch(
        member_ids,
        epoch,
        max(armed or prepared) or _unused_version(reports),
        None,
        Phase.ARMING,
        held_step=step,
        holder_id=holder,
    )
    if any(not _has_version(report, found.version) for report in reports):
        return _disarm(found)
    return _arm(found)


@functools.singledispatch
def decide(event: Event, switch: Switch) -> Decision:
    """Return the next state of a switch and the orders to send."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _accepted(event: Accepted, switch: Switch) -> Decision:
    """Go on when the last engine of a phase has answered."""
    operation = event.order.operation
    if operation is Operation.HOLD and switch.phase is Phase.HOLDING:
        if event.order.step == switch.held_step:
            return _arm(switch)
    if operation is Operation.ARM and switch.phase is Phase.ARMING:
        armed_ids = switch.armed_ids | {event.upstream_id}
        counted = switch._replace(armed_ids=armed_ids)
        if armed_ids == frozenset(switch.member_ids):
            return _release(counted)
        return Decision(counted)
    if operation is Operation.DISARM and switch.phase is Phase.DISARMING:
        disarmed_ids = switch.disarmed_ids | {event.upstream_id}
        counted = switch._replace(disarmed_ids=disarmed_ids)
        if disarmed_ids == frozenset(switch.member_ids):
            return _release(counted)
        return Decision(counted)
    return _released(operation, switch)


@decide.register
def _refused(event: Refused, switch: Switch) -> Decision:
    """Abandon what nobody is armed for; leave the rest to a successor."""
    operation = event.order.operation
    if switch.phase is Phase.PREPARING:
        return Decision(switch._replace(phase=Phase.ABANDONED))
    if operation is Operation.HOLD and switch.phase is Phase.HOLDING:
        if event.order.step != switch.held_step:
            return Decision(switch)
        return _hold(switch)
    if operation in {Operation.ARM, Operation.DISARM}:
        return Decision(switch._replace(phase=Phase.STUCK))
    return _released(operation, switch)


@decide.register
def _unanswered(event: Unanswered, switch: Switch) -> Decision:
    """Leave more steps to arm all ranks, since orders get lost."""
    return Decision(
        switch._replace(hold_margin_steps=HOLD_MARGIN_LOSSY_STEPS),
    )


@decide.register
def _reported(event: Reported, switch: Switch) -> Decision:
    """Notice a new epoch, which forgets all orders, and finished copies."""
    report = event.report
    if switch.phase in FINAL:
        return Decision(switch)
    if report.epoch > switch.epoch:
        return Decision(switch._replace(phase=Phase.ABANDONED))
    known = switch._replace(newest_step=max(switch.newest_step, report.step))
    if switch.phase is not Phase.PREPARING or report.epoch != switch.epoch:
        return Decision(known)
    if report.prepared != switch.version:
        return Decision(known)
    prepared_ids = switch.prepared_ids | {event.upstream_id}
    counted = known._replace(prepared_ids=prepared_ids)
    if prepared_ids == frozenset(switch.member_ids):
        return _hold(counted._replace(holder_id=switch.member_ids[0]))
    return Decision(counted)


def _hold(switch: Switch) -> Decision:
    """Hold the group before a step to come."""
    if switch.hold_attempts >= HOLD_ATTEMPTS:
        return Decision(switch._replace(phase=Phase.ABANDONED))
    least = switch.held_step if switch.hold_attempts else switch.newest_step
    held = switch._replace(
        phase=Phase.HOLDING,
        hold_attempts=switch.hold_attempts + 1,
        held_step=least + switch.hold_margin_steps,
    )
    order = Order(Operation.HOLD, held.epoch, step=held.held_step)
    return Decision(held, (Send(held.holder_id, order),))


def _arm(switch: Switch) -> Decision:
    """Arm every rank for the held step."""
    order = Order(
        Operation.ARM,
        switch.epoch,
        switch.version,
        switch.held_step,
    )
    return Decision(
        switch._replace(phase=Phase.ARMING),
        tuple(Send(member, order) for member in switch.member_ids),
    )


def _disarm(switch: Switch) -> Decision:
    """Take the held version back from every rank."""
    order = Order(Operation.DISARM, switch.epoch, switch.version)
    return Decision(
        switch._replace(phase=Phase.DISARMING),
        tuple(Send(member, order) for member in switch.member_ids),
    )


def _released(operation: Operation, switch: Switch) -> Decision:
    """End the switch once the group was let go."""
    if operation is not Operation.RELEASE:
        return Decision(switch)
    if switch.phase is not Phase.RELEASING:
        return Decision(switch)
    complete = switch.armed_ids == frozenset(switch.member_ids)
    ended = Phase.DONE if complete else Phase.ABANDONED
    return Decision(switch._replace(phase=ended))


def _unused_version(reports: typing.Iterable[Report]) -> int:
    """Return a version that no rank has."""
    return max(report.map_version for report in reports) + 1


def _has_version(report: Report, version: int) -> bool:
    """Return whether a rank is armed, or can be, with a version."""
    return version in {report.armed, report.prepared}


def _release(switch: Switch) -> Decision:
    """Let the group begin the held step."""
    order = Order(Operation.RELEASE, switch.epoch, step=switch.held_step)
    return Decision(
        switch._replace(phase=Phase.RELEASING),
        (Send(switch.holder_id, order),),
    )
