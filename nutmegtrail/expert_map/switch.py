"""Switch of a rank group to a new map by orders to its engines.

The group is held before a step, every rank is armed for that step, and only
then is the group released. A new leader that finds a held group arms all
ranks and releases the group. This gives the same result as the orders of the
previous leader, even if that one resumes in between. If a rank has prepared
another version since, nobody can complete the held switch, and the new leader
disarms all ranks.

An order without an answer may still be carried out later. Ranks are therefore
disarmed only under a higher fence than that of all arming orders.
"""

import enum
import functools
import typing

from nutmegtrail.expert_map import layer_placement

# Steps between the newest reported step and the held one. Reports are about
# 200 ms old and a step takes at least 20 ms.
HOLD_MARGIN_STEPS: typing.Final = 4
# Used when orders get lost, since arming all ranks then takes some retries.
HOLD_MARGIN_LOSSY_STEPS: typing.Final = 7
HOLD_ATTEMPTS: typing.Final = 10
MIN_HOLD_MARGIN_STEPS: typing.Final = 1


class Operation(enum.Enum):
    """Operation of an order to an engine."""

    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    DISARM = 'disarm'
    RELEASE = 'go'


class Order(typing.NamedTuple):
    """Order to an engine, valid in one epoch of its group."""

    operation: Operation
    epoch: int
    version: int | None = None
    step: int | None = None
    layers: layer_placement.Layers | None = None


class Report(typing.NamedTuple):
    """Reported state of an engine."""

    epoch: int
    step: int
    map_version: int
    prepared_version: int | None
    armed_version: int | None
    held_step: int | None


class Phase(enum.Enum):
    """Phase of a switch."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    DISARMING = 'disarming'
    RELEASING = 'releasing'
    DONE = 'done'
    ABANDONED = 'abandoned'
    STUCK = 'stuck'


FINAL_PHASES: typing.Final = frozenset(
    (Phase.DONE, Phase.ABANDONED, Phase.STUCK)
)
# Phases in which the group may stay held until another leader continues.
POSSIBLY_HELD_PHASES: typing.Final = frozenset(
    (
        Phase.HOLDING,
        Phase.ARMING,
        Phase.DISARMING,
        Phase.RELEASING,
        Phase.STUCK,
    ),
)


class Switch(typing.NamedTuple):
    """State of a running switch; `member_ids` are in rank order."""

    member_ids: tuple[str, ...]
    epoch: int
    version: int
    layers: layer_placement.Layers | None
    phase: Phase
    newest_step: int = 0
    held_step: int = 0
    holding_member_id: str = ''
    hold_attempts: int = 0
    hold_margin_steps: int = HOLD_MARGIN_STEPS
    prepared_ids: frozenset[str] = frozenset()
    armed_ids: frozenset[str] = frozenset()
    disarmed_ids: frozenset[str] = frozenset()


class OutgoingOrder(typing.NamedTuple):
    """Order to send to an engine until it is answered."""

    upstream_id: str
    order: Order


class Decision(typing.NamedTuple):
    """Next state of a switch and the orders to send."""

    switch: Switch
    outgoing_orders: tuple[OutgoingOrder, ...] = ()


class Accepted(typing.NamedTuple):
    """An engine has started an order or had already carried it out."""

    upstream_id: str
    order: Order


class Refused(typing.NamedTuple):
    """An engine refused an order that does not fit its state."""

    upstream_id: str
    order: Order


class Unanswered(typing.NamedTuple):
    """An order got no answer and will be sent again."""

    upstream_id: str
    order: Order


class Reported(typing.NamedTuple):
    """The report of an engine was read."""

    upstream_id: str
    report: Report


class CopiesExpected(typing.NamedTuple):
    """All engines have had the time to copy their new experts.

    Reports show that only later. An engine that still copies refuses to be
    armed, so that nothing depends on the estimate but how long the group is
    held.
    """


Event: typing.TypeAlias = (
    Accepted | Refused | Unanswered | Reported | CopiesExpected
)


def begin(
    member_ids: tuple[str, ...],
    epoch: int,
    version: int,
    layers: layer_placement.Layers,
    last_held_step: int = 0,
    hold_margin_steps: int = HOLD_MARGIN_STEPS,
) -> Decision:
    """Start a switch by ordering every rank to prepare the map.

    A step up to the last held one is not held again, because a delayed order
    to release it would end the new hold.
    """
    switch = Switch(
        member_ids,
        epoch,
        version,
        layers,
        Phase.PREPARING,
        newest_step=last_held_step,
        hold_margin_steps=hold_margin_steps,
    )
    order = Order(Operation.PREPARE, epoch, version, layers=layers)
    return Decision(
        switch,
        tuple(OutgoingOrder(member, order) for member in member_ids),
    )


def expected_hold_margin_steps(
    report_lag_seconds: float, step_seconds: float
) -> int:
    """Return the steps from the newest reported one to the next to begin.

    Returns `HOLD_MARGIN_STEPS` if the age of reports or the duration of steps
    is 0, which means unknown. A hold that comes too late is refused and sent
    again for a later step.
    """
    if not report_lag_seconds or not step_seconds:
        return HOLD_MARGIN_STEPS
    begun_steps = int(report_lag_seconds / step_seconds)
    return min(begun_steps + MIN_HOLD_MARGIN_STEPS, HOLD_MARGIN_STEPS)


def resume(
    member_ids: tuple[str, ...],
    reports_by_id: typing.Mapping[str, Report],
) -> Decision | None:
    """Complete a switch of an earlier leader, None if no group is held."""
    holding_members = [
        member
        for member in member_ids
        if reports_by_id[member].held_step is not None
    ]
    if not holding_members:
        return None
    holding_member = holding_members[0]
    held_step = reports_by_id[holding_member].held_step or 0
    epoch = reports_by_id[holding_member].epoch
    reports = [reports_by_id[member] for member in member_ids]
    prepared_versions = {report.prepared_version or 0 for report in reports}
    armed_versions = {report.armed_version or 0 for report in reports} - {0}
    switch = Switch(
        member_ids,
        epoch,
        max(armed_versions or prepared_versions) or _unused_version(reports),
        None,
        Phase.ARMING,
        held_step=held_step,
        holding_member_id=holding_member,
    )
    if any(not _has_version(report, switch.version) for report in reports):
        return _disarm(switch)
    return _arm(switch)


@functools.singledispatch
def decide(event: Event, switch: Switch) -> Decision:
    """Return the next state of a switch and the orders to send."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _accepted(event: Accepted, switch: Switch) -> Decision:
    """Start the next phase once all engines have answered."""
    operation = event.order.operation
    if operation is Operation.HOLD and switch.phase is Phase.HOLDING:
        if event.order.step == switch.held_step:
            return _arm(switch)
    if operation is Operation.ARM and switch.phase is Phase.ARMING:
        armed_ids = switch.armed_ids | {event.upstream_id}
        updated = switch._replace(armed_ids=armed_ids)
        if armed_ids == frozenset(switch.member_ids):
            return _release(updated)
        return Decision(updated)
    if operation is Operation.DISARM and switch.phase is Phase.DISARMING:
        disarmed_ids = switch.disarmed_ids | {event.upstream_id}
        updated = switch._replace(disarmed_ids=disarmed_ids)
        if disarmed_ids == frozenset(switch.member_ids):
            return _release(updated)
        return Decision(updated)
    return _released(operation, switch)


@decide.register
def _refused(event: Refused, switch: Switch) -> Decision:
    """Handle a refusal.

    A switch that no rank is armed for is abandoned or held at a later step.
    Otherwise it is stuck, and another leader has to recover it.
    """
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
    """Use a larger hold margin, since orders get lost."""
    return Decision(
        switch._replace(hold_margin_steps=HOLD_MARGIN_LOSSY_STEPS),
    )


@decide.register
def _reported(event: Reported, switch: Switch) -> Decision:
    """Track finished copies; abandon the switch in a new epoch.

    Engines discard all orders when a new epoch starts.
    """
    report = event.report
    if switch.phase in FINAL_PHASES:
        return Decision(switch)
    if report.epoch > switch.epoch:
        return Decision(switch._replace(phase=Phase.ABANDONED))
    refreshed = switch._replace(
        newest_step=max(switch.newest_step, report.step)
    )
    if switch.phase is not Phase.PREPARING or report.epoch != switch.epoch:
        return Decision(refreshed)
    if report.prepared_version != switch.version:
        return Decision(refreshed)
    prepared_ids = switch.prepared_ids | {event.upstream_id}
    updated = refreshed._replace(prepared_ids=prepared_ids)
    if prepared_ids == frozenset(switch.member_ids):
        return _begin_hold(updated)
    return Decision(updated)


@decide.register
def _copies_expected(event: CopiesExpected, switch: Switch) -> Decision:
    """Hold the group without waiting for the reports."""
    if switch.phase is not Phase.PREPARING:
        return Decision(switch)
    return _begin_hold(switch)


def _begin_hold(switch: Switch) -> Decision:
    """Hold the group by its first rank."""
    return _hold(switch._replace(holding_member_id=switch.member_ids[0]))


def _hold(switch: Switch) -> Decision:
    """Hold the group before a future step."""
    if switch.hold_attempts >= HOLD_ATTEMPTS:
        return Decision(switch._replace(phase=Phase.ABANDONED))
    held_step = switch.newest_step + switch.hold_margin_steps
    if switch.hold_attempts:
        held_step = switch.held_step + _retry_margin_steps(switch)
    holding = switch._replace(
        phase=Phase.HOLDING,
        hold_attempts=switch.hold_attempts + 1,
        held_step=held_step,
    )
    order = Order(Operation.HOLD, holding.epoch, step=holding.held_step)
    return Decision(holding, (OutgoingOrder(holding.holding_member_id, order),))


def _retry_margin_steps(switch: Switch) -> int:
    """Return the steps from a step that has begun to the next to hold.

    A margin shorter than the default grows with each attempt.
    """
    if switch.hold_margin_steps < HOLD_MARGIN_STEPS:
        return min(switch.hold_attempts, HOLD_MARGIN_STEPS)
    return switch.hold_margin_steps


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
        tuple(OutgoingOrder(member, order) for member in switch.member_ids),
    )


def _disarm(switch: Switch) -> Decision:
    """Disarm the held version on every rank."""
    order = Order(Operation.DISARM, switch.epoch, switch.version)
    return Decision(
        switch._replace(phase=Phase.DISARMING),
        tuple(OutgoingOrder(member, order) for member in switch.member_ids),
    )


def _released(operation: Operation, switch: Switch) -> Decision:
    """End the switch once the group was released."""
    if operation is not Operation.RELEASE:
        return Decision(switch)
    if switch.phase is not Phase.RELEASING:
        return Decision(switch)
    is_complete = switch.armed_ids == frozenset(switch.member_ids)
    final_phase = Phase.DONE if is_complete else Phase.ABANDONED
    return Decision(switch._replace(phase=final_phase))


def _unused_version(reports: typing.Iterable[Report]) -> int:
    """Return a version that no rank runs."""
    return max(report.map_version for report in reports) + 1


def _has_version(report: Report, version: int) -> bool:
    """Return whether a rank is armed with a version or has prepared it."""
    return version in {report.armed_version, report.prepared_version}


def _release(switch: Switch) -> Decision:
    """Release the group so that it starts the held step."""
    order = Order(Operation.RELEASE, switch.epoch, step=switch.held_step)
    return Decision(
        switch._replace(phase=Phase.RELEASING),
        (OutgoingOrder(switch.holding_member_id, order),),
    )
