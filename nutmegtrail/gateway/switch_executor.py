"""Sends the orders of one switch of expert maps."""

import types
import typing

import anyio
import anyio.abc

from nutmegtrail.expert_map import layer_placement
from nutmegtrail.expert_map import switch as switches
from nutmegtrail.gateway import const
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import models
from nutmegtrail.gateway import pacer as pacing
from nutmegtrail.gateway import rank_groups
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


class SwitchExecutor:
    """Sends the orders of one switch and feeds back their outcomes."""

    def __init__(
        self,
        group: rank_groups.Group,
        begun: switches.Decision,
        engines: rank_control.RankControl,
        lease: leader_lease.LeaderLease,
        pacer: pacing.Pacer,
    ) -> None:
        """Keep the collaborators; nothing is sent yet."""
        self._group = group
        self._pacer = pacer
        self._begun = begun
        self._state = begun.switch
        self._engines = engines
        self._lease = lease
        self._fence = lease.fence or 0
        self._upstreams_by_id = {
            member.upstream_id: member for member in group.members
        }
        self._deadline = 0.0
        self._patient_until = 0.0

    @property
    def held_step(self) -> int:
        """Return the step that was held last, 0 if none was."""
        return self._state.held_step

    async def run(self) -> bool:
        """Return whether the group was switched."""
        now = anyio.current_time()
        self._deadline = now + const.SWITCH_TIMEOUT_SECONDS
        self._patient_until = now + const.PREPARE_RETRY_WINDOW_SECONDS
        async with anyio.create_task_group() as tasks:
            await self._begin(tasks)
            while self._state.phase not in switches.FINAL:
                await anyio.sleep(const.REPORT_INTERVAL_SECONDS)
                if self._lease.fence != self._fence or self._is_late():
                    break
                await self._read_reports(tasks)
            tasks.cancel_scope.cancel()
        logs.decision(
            'expert-map:switch-ended',
            group=self._group.name,
            version=self._state.version,
            phase=self._state.phase.value,
            step=self._state.held_step,
        )
        if self._state.phase in switches.UNFINISHED:
            await self._lease.resign()
        return self._state.phase is switches.Phase.DONE

    async def _begin(self, tasks: anyio.abc.TaskGroup) -> None:
        """Send the first orders; a map goes to one rank before the others.

        All ranks refuse a map until the step of the switch before has begun,
        so one of them is asked until it accepts.
        """
        sends = self._begun.sends
        if self._state.phase is switches.Phase.PREPARING:
            await self._send(sends[0], tasks)
            sends = sends[1:]
        for send in sends:
            tasks.start_soon(self._send, send, tasks)

    def _is_late(self) -> bool:
        """Return whether another entry should try to go on."""
        return anyio.current_time() > self._deadline

    async def _read_reports(self, tasks: anyio.abc.TaskGroup) -> None:
        """Read the reports of the ranks that still copy experts."""
        async with anyio.create_task_group() as reads:
            for member in self._group.members:
                if member.upstream_id not in self._state.prepared_ids:
                    reads.start_soon(self._read_report, member, tasks)

    async def _read_report(
        self,
        member: models.Upstream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Read the report of a rank."""
        report = await self._engines.report(member)
        if report is not None:
            event = switches.Reported(member.upstream_id, report)
            self._take(switches.decide(event, self._state), tasks)

    def _take(
        self,
        decision: switches.Decision,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Take the next state over and send its orders."""
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
        for send in decision.sends:
            tasks.start_soon(self._send, send, tasks)

    def _may_fit_later(
        self,
        order: switches.Order,
        outcome: rank_control.OrderOutcome,
    ) -> bool:
        """Return whether a map was refused only for the switch before."""
        return (
            outcome is rank_control.OrderOutcome.REFUSED
            and order.operation is switches.Operation.PREPARE
            and anyio.current_time() < self._patient_until
        )

    async def _send(
        self,
        send: switches.Send,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Send an order until it is answered."""
        upstream = self._upstreams_by_id[send.upstream_id]
        retry_seconds = const.ORDER_RETRY_SECONDS
        while self._state.phase not in switches.FINAL and not self._is_late():
            if send.order.layers is not None:
                await self._pacer.wait(_size_bytes(send.order.layers))
            if self._lease.fence != self._fence:
                return
            outcome = await self._engines.order(
                upstream,
                send.order,
                self._fence,
            )
            if outcome is rank_control.OrderOutcome.FENCED:
                self._lease.on_fenced()
                return
            if not self._may_fit_later(send.order, outcome):
                event = _EVENT_TYPE_BY_OUTCOME[outcome](
                    send.upstream_id,
                    send.order,
                )
                self._take(switches.decide(event, self._state), tasks)
                if outcome is not rank_control.OrderOutcome.UNANSWERED:
                    return
            await anyio.sleep(retry_seconds)
            retry_seconds = min(
                retry_seconds * 2,
                const.ORDER_RETRY_LIMIT_SECONDS,
            )


def _size_bytes(layers: layer_placement.Layers) -> int:
    """Return about how many bytes a map takes in an order."""
    placed = sum(len(rank) for layer in layers for rank in layer)
    return placed * const.BYTES_PER_PLACED_EXPERT
