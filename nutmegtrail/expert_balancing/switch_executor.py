"""Execution of one expert map switch on the ranks of a group."""

import math
import types
import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.expert_balancing import order_distribution
from nutmegtrail.expert_balancing import patience
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_control

_EVENT_TYPE_BY_OUTCOME: typing.Final[
    typing.Mapping[
        rank_control.OrderOutcome,
        type[switches.Accepted | switches.Refused | switches.Unanswered],
    ]
] = types.MappingProxyType(
    {
        rank_control.OrderOutcome.ACCEPTED: switches.Accepted,
        rank_control.OrderOutcome.REFUSED: switches.Refused,
        rank_control.OrderOutcome.UNANSWERED: switches.Unanswered,
    },
)


class Preparation(typing.NamedTuple):
    """How long ranks copy their new experts, and how old their reports are."""

    copy_seconds_by_id: typing.Mapping[str, float]
    report_lag_seconds: float


class SwitchExecutor:
    """Sends the orders of one switch and handles their outcomes."""

    def __init__(
        self,
        group: rank_groups.Group,
        first_decision: switches.Decision,
        engines: rank_control.RankControl,
        lease: leader_lease.LeaderLease,
        distributor: order_distribution.OrderDistributor,
        preparation: Preparation | None = None,
    ) -> None:
        """Initialize the executor without sending any orders.

        Without `preparation`, reports are read until they show the new map.
        """
        self._group = group
        self._distributor = distributor
        self._first_decision = first_decision
        self._state = first_decision.switch
        # Orders without a map, such as those of a recovery, need no pacing.
        self._map_bytes = layer_placement.size_bytes(self._state.layers or ())
        self._engines = engines
        self._lease = lease
        self._fence = lease.fence or 0
        self._upstreams_by_id = {
            member.upstream_id: member for member in group.members
        }
        self._preparation = preparation or Preparation({}, 0)
        self._copied_at_by_id = dict.fromkeys(
            self._preparation.copy_seconds_by_id, math.inf
        )
        self._report_due_at_by_id = dict(self._copied_at_by_id)
        self._deadline = 0.0
        self._prepare_retry_until = 0.0
        self._arm_retry_until = 0.0

    @property
    def held_step(self) -> int:
        """Return the step before which the group was last held, 0 if none."""
        return self._state.held_step

    async def run(self) -> bool:
        """Run the switch to its end and return whether it succeeded."""
        now = anyio.current_time()
        self._deadline = now + const.SWITCH_TIMEOUT_SECONDS
        self._prepare_retry_until = now + const.PREPARE_RETRY_WINDOW_SECONDS
        async with anyio.create_task_group() as tasks:
            await self._begin(tasks)
            while self._state.phase not in switches.FINAL_PHASES:
                await anyio.sleep(const.REPORT_CHECK_SECONDS)
                if self._is_abandoned():
                    break
                await self._expect_copies(tasks)
                await self._read_reports(tasks)
            tasks.cancel_scope.cancel()
        logs.decision(
            'expert-map:switch-ended',
            group=self._group.name,
            version=self._state.version,
            phase=self._state.phase.value,
            step=self._state.held_step,
        )
        if self._state.phase in switches.POSSIBLY_HELD_PHASES:
            await self._lease.resign()
        return self._state.phase is switches.Phase.DONE

    async def _begin(self, tasks: anyio.abc.TaskGroup) -> None:
        """Send the first orders; a new map goes to one rank before the others.

        All ranks refuse a map until the step of the previous switch has
        started, so only the first rank is retried until it accepts.
        """
        outgoing_orders = self._first_decision.outgoing_orders
        if self._state.phase is switches.Phase.PREPARING:
            await self._send(outgoing_orders[0], tasks)
            outgoing_orders = outgoing_orders[1:]
        distribution = self._distributor.distribute(
            outgoing_orders, self._upstreams_by_id, self._map_bytes
        )
        for address, relayed in distribution.relayed_by_address.items():
            tasks.start_soon(self._relay, address, relayed, tasks)
        for outgoing in distribution.own:
            tasks.start_soon(self._send, outgoing, tasks)

    async def _relay(
        self,
        address: shared_models.Address,
        outgoing_orders: tuple[switches.OutgoingOrder, ...],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Let another instance send orders.

        Those that it does not report as accepted are sent by this one.
        """
        outcomes_by_id = await self._distributor.relay(
            address, outgoing_orders, self._fence, self._map_bytes
        )
        if rank_control.OrderOutcome.FENCED in outcomes_by_id.values():
            self._lease.on_fenced()
            return
        for outgoing in outgoing_orders:
            outcome = outcomes_by_id.get(outgoing.upstream_id)
            if outcome is rank_control.OrderOutcome.ACCEPTED:
                self._on_outcome(outgoing, outcome, tasks)
            else:
                tasks.start_soon(self._send, outgoing, tasks)

    def _is_abandoned(self) -> bool:
        """Return whether the switch is left to another instance.

        One that is about to stop begins no hold.
        """
        is_preparing = self._state.phase is switches.Phase.PREPARING
        return (
            self._lease.fence != self._fence
            or self._is_past_deadline()
            or (self._lease.is_retiring and is_preparing)
        )

    def _is_past_deadline(self) -> bool:
        """Return whether the switch should be left to another instance."""
        return anyio.current_time() > self._deadline

    async def _expect_copies(self, tasks: anyio.abc.TaskGroup) -> None:
        """Hold the group once all ranks should have copied their experts.

        The report of the rank that holds the group tells a recent step. A hold
        of a step that has begun is refused.
        """
        copied_at = max(self._copied_at_by_id.values(), default=math.inf)
        is_preparing = self._state.phase is switches.Phase.PREPARING
        if not is_preparing or anyio.current_time() < copied_at:
            return
        if not await self._read_report(self._group.members[0], tasks):
            return
        self._arm_retry_until = (
            anyio.current_time() + const.ARM_RETRY_WINDOW_SECONDS
        )
        decision = switches.decide(switches.CopiesExpected(), self._state)
        self._apply(decision, tasks)

    async def _read_reports(self, tasks: anyio.abc.TaskGroup) -> None:
        """Read the reports that may show copied experts by now."""
        now = anyio.current_time()
        async with anyio.create_task_group() as reads:
            for member in self._group.members:
                upstream_id = member.upstream_id
                due_at = self._report_due_at_by_id.get(upstream_id, now)
                if due_at > now or upstream_id in self._state.prepared_ids:
                    continue
                self._report_due_at_by_id[upstream_id] = (
                    now + const.REPORT_INTERVAL_SECONDS
                )
                reads.start_soon(self._read_report, member, tasks)

    async def _read_report(
        self,
        member: models.Upstream,
        tasks: anyio.abc.TaskGroup,
    ) -> bool:
        """Apply a rank's report to the switch; return whether it was read."""
        report = await self._engines.report(member)
        if report is None:
            return False
        event = switches.Reported(member.upstream_id, report)
        self._apply(switches.decide(event, self._state), tasks)
        return True

    def _apply(
        self,
        decision: switches.Decision,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Adopt the next state and send its orders."""
        if decision.switch.phase is not self._state.phase:
            logs.decision(
                'expert-map:phase',
                group=self._group.name,
                version=decision.switch.version,
                phase=decision.switch.phase.value,
                step=decision.switch.held_step,
                fence=self._fence,
            )
            if decision.switch.phase is switches.Phase.HOLDING:
                self._deadline = (
                    anyio.current_time() + const.HOLD_TIMEOUT_SECONDS
                )
        self._state = decision.switch
        for outgoing in decision.outgoing_orders:
            tasks.start_soon(self._send, outgoing, tasks)

    def _on_outcome(
        self,
        outgoing: switches.OutgoingOrder,
        outcome: rank_control.OrderOutcome,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Apply the outcome of an order to the switch."""
        upstream_id, order = outgoing
        is_accepted = outcome is rank_control.OrderOutcome.ACCEPTED
        if is_accepted and order.operation is switches.Operation.PREPARE:
            self._on_copy_started(upstream_id)
        event = _EVENT_TYPE_BY_OUTCOME[outcome](upstream_id, order)
        self._apply(switches.decide(event, self._state), tasks)

    def _on_copy_started(self, upstream_id: str) -> None:
        """Note until when a rank copies, and when its report shows that."""
        copy_seconds = self._preparation.copy_seconds_by_id.get(upstream_id)
        if copy_seconds is None:
            return
        copied_at = anyio.current_time() + copy_seconds
        self._copied_at_by_id[upstream_id] = copied_at
        self._report_due_at_by_id[upstream_id] = (
            copied_at + self._preparation.report_lag_seconds
        )

    def _should_retry(
        self,
        order: switches.Order,
        outcome: rank_control.OrderOutcome,
    ) -> bool:
        """Return whether an order was refused because it came too early.

        A map is refused until the step of the previous switch has started. A
        rank is not armed until it has copied its new experts.
        """
        if outcome is not rank_control.OrderOutcome.REFUSED:
            return False
        now = anyio.current_time()
        if order.operation is switches.Operation.PREPARE:
            return now < self._prepare_retry_until
        is_arming = order.operation is switches.Operation.ARM
        return is_arming and now < self._arm_retry_until

    async def _send(
        self,
        outgoing: switches.OutgoingOrder,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Send an order until it is answered.

        Stops when the switch has ended or passed its deadline, and when the
        fence was replaced.
        """
        upstream = self._upstreams_by_id[outgoing.upstream_id]
        retry_seconds = const.ORDER_RETRY_SECONDS
        unanswered_tries = 0
        while (
            self._state.phase not in switches.FINAL_PHASES
            and not self._is_past_deadline()
        ):
            if outgoing.order.layers is not None:
                await self._distributor.wait_for_link(self._map_bytes)
            if self._lease.fence != self._fence:
                return
            outcome = await self._engines.order(
                upstream,
                outgoing.order,
                self._fence,
                patience.factor(unanswered_tries),
            )
            if outcome is rank_control.OrderOutcome.FENCED:
                self._lease.on_fenced()
                return
            if outcome is rank_control.OrderOutcome.UNANSWERED:
                unanswered_tries += 1
            if not self._should_retry(outgoing.order, outcome):
                self._on_outcome(outgoing, outcome, tasks)
                if outcome is not rank_control.OrderOutcome.UNANSWERED:
                    return
            await anyio.sleep(retry_seconds)
            retry_seconds = min(
                retry_seconds * 2,
                const.ORDER_RETRY_LIMIT_SECONDS,
            )
