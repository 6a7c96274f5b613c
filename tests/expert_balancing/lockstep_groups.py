"""Rank groups that pass in lock-step and follow the platform's rules.

Reports lag behind. An order may be carried out late, or lose its response.
"""

import collections
import itertools
import typing

import anyio

from nutmegtrail.expert_map import switch
from nutmegtrail.ports import rank_control
from tests.expert_map import rank as platform_ranks
from tests.gateway import samples

RANKS = 3
EXPERTS = 6
EXPERT_SLOTS = 4
SPARE_SLOTS = 2
PASS_SECONDS = 0.04
REPORT_LAG_SECONDS = 0.2
COPY_SECONDS = 0.02
ORDER_TIMEOUT_SECONDS = 0.03
_TOKENS = 20
_HOT_TOKENS = 400
_OUTCOME_BY_STATUS = {
    200: rank_control.OrderOutcome.ACCEPTED,
    202: rank_control.OrderOutcome.ACCEPTED,
    409: rank_control.OrderOutcome.REFUSED,
    412: rank_control.OrderOutcome.FENCED,
}


class Fates(typing.NamedTuple):
    """Ratios of orders that are lost, late, or lose their response."""

    lost: float = 0
    late: float = 0
    unanswered: float = 0


class Rank(platform_ranks.Rank):
    """Rank that copies experts for a while and keeps its recent reports."""

    def __init__(self, number, fence=0):
        """Initialize the rank with experts assigned in turn."""
        super().__init__()
        self.fence = fence
        self.experts = (tuple(range(number, EXPERTS, RANKS)),)
        self.prepared_experts = self.experts
        self.copied_at = 0
        self.reports = collections.deque()
        self._number = number

    def take(self, order, fence, step):
        """Return an order's HTTP status; one that copies cannot be armed."""
        is_copying = anyio.current_time() < self.copied_at
        if order.operation is switch.Operation.ARM and is_copying:
            return 409 if fence >= self.fence else 412
        status = super().take(order, fence, step)
        if status == 202:
            self.prepared_experts = tuple(
                layer[self._number] for layer in order.layers
            )
            self.copied_at = anyio.current_time() + COPY_SECONDS
        return status

    def begin(self, step):
        """Begin a pass, on the new map if the rank is armed for it."""
        if self.armed is not None and self.armed_step == step:
            self.map_version = self.armed
            self.experts = self.prepared_experts
            self.armed = None
            self.prepared = None


class Group:
    """Group of ranks; a crash of one ends its epoch."""

    def __init__(self, name):
        """Initialize an open group without requests."""
        self.name = name
        self.epoch = 1
        self.step = 0
        self.is_open = True
        self.is_busy = False
        self.shifts = 0
        self.counts = list(itertools.repeat(0, EXPERTS))
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.started_at_ms = list(itertools.repeat(1, RANKS))
        self.violations = []
        self._crashed = None

    def member(self, number):
        """Return the present registration of a rank."""
        return samples.member(
            f'{self.name}-{number}',
            number,
            self.name,
            size=RANKS,
            epoch=self.epoch,
            is_open=self.is_open,
        )._replace(started_at_ms=self.started_at_ms[number])

    async def run(self):
        """Begin passes while there are requests."""
        while True:
            await anyio.sleep(PASS_SECONDS)
            if self.is_busy and self.is_open:
                self._begin_pass()
            self.record_reports()

    def crash(self, number):
        """End the epoch by the crash of a rank, which forgets everything."""
        self.is_open = False
        self.started_at_ms[number] += 1
        self._crashed = number

    def form(self):
        """Begin a new epoch on the first map, unless the group is open."""
        if self.is_open:
            return
        self.epoch += 1
        self.is_open = True
        self.ranks = [
            Rank(number, 0 if number == self._crashed else rank.fence)
            for number, rank in enumerate(self.ranks)
        ]
        self.counts = list(itertools.repeat(0, EXPERTS))
        self.record_reports()

    def held_steps(self):
        """Return the steps that ranks hold."""
        return [rank.held for rank in self.ranks if rank.held is not None]

    def is_released(self):
        """Return whether no rank holds a step."""
        return not self.held_steps()

    def record_reports(self):
        """Record what reports will tell after their lag."""
        now = anyio.current_time()
        for rank in self.ranks:
            report = rank.report(self.step)._replace(epoch=self.epoch)
            if now < rank.copied_at:
                report = report._replace(prepared_version=None)
            rank.reports.append((now, report))
            while len(rank.reports) > 1 and (
                rank.reports[1][0] <= now - REPORT_LAG_SECONDS
            ):
                rank.reports.popleft()

    def _begin_pass(self):
        """Begin the next pass unless it is held."""
        step = self.step + 1
        if step in self.held_steps():
            return
        self.step = step
        for rank in self.ranks:
            rank.begin(step)
        versions = {rank.map_version for rank in self.ranks}
        if len(versions) > 1:
            self.violations.append(
                f'{self.name} step {step}: maps {sorted(versions)}'
            )
        for expert in range(EXPERTS):
            is_hot = expert % RANKS == self.shifts % RANKS
            self.counts[expert] += _HOT_TOKENS if is_hot else _TOKENS


class Engines:
    """Ranks of all groups, with the fates of orders to them."""

    def __init__(self, groups, generator):
        """Initialize the groups without faults."""
        self.group_by_name = {
            f'g{number}': Group(f'g{number}') for number in range(groups)
        }
        self.fates = Fates()
        self.late_limit_seconds = 3.0
        # Late orders of this operation only, if set.
        self.late_operation = None
        self.order_count = 0
        self.carried_out_late = []
        self._generator = generator
        self._tasks = None

    async def run(self):
        """Run all groups until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for group in self.group_by_name.values():
                tasks.start_soon(group.run)

    async def send(self, upstream, order, fence):
        """Return the outcome of an order, which meets a drawn fate."""
        self.order_count += 1
        lost, late, unanswered = self.fates
        if order.operation is not (self.late_operation or order.operation):
            lost, late, unanswered = Fates()
        draw = self._generator.random()
        if draw < lost:
            return await _time_out()
        if draw < lost + late:
            seconds = self._generator.uniform(0, self.late_limit_seconds)
            self._tasks.start_soon(
                self._carry_out_late, seconds, upstream, order, fence
            )
            return await _time_out()
        await anyio.sleep(0.001)
        status = self._take(upstream, order, fence)
        is_lost = draw < lost + late + unanswered
        if is_lost or status not in _OUTCOME_BY_STATUS:
            return await _time_out()
        return _OUTCOME_BY_STATUS[status]

    def report(self, upstream):
        """Return a rank's last report that is old enough."""
        _, rank = self._find(upstream)
        if rank is None or not rank.reports:
            return None
        return rank.reports[0][1]

    def choices(self, upstream):
        """Return the expert counters of a rank."""
        group, rank = self._find(upstream)
        return None if rank is None else tuple(group.counts)

    def held_experts(self, upstream):
        """Return the experts that a rank holds."""
        _, rank = self._find(upstream)
        return None if rank is None else rank.experts

    async def _carry_out_late(self, seconds, upstream, order, fence):
        """Carry out an order whose sender had no response."""
        await anyio.sleep(seconds)
        status = self._take(upstream, order, fence)
        self.carried_out_late.append((order, status))

    def _find(self, upstream):
        """Return the group and the rank, None while the group is broken."""
        group = self.group_by_name[upstream.membership.group]
        if not group.is_open:
            return group, None
        return group, group.ranks[upstream.membership.rank]

    def _take(self, upstream, order, fence):
        """Return the status of an order, None without a response."""
        group, rank = self._find(upstream)
        if rank is None:
            return None
        if order.epoch != group.epoch:
            return 409
        status = rank.take(order, fence, group.step)
        group.record_reports()
        return status


async def _time_out():
    """Return that no response came in time."""
    await anyio.sleep(ORDER_TIMEOUT_SECONDS)
    return rank_control.OrderOutcome.UNANSWERED
