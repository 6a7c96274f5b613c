"""Entries that lead in turn over a rank group behind failing connections."""

import anyio

from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import metrics
from nutmegtrail.platform import engines as platform_engines
from tests import simulated_time
from tests.expert_balancing import engine_network
from tests.expert_balancing import simulated_groups

_COPY_SECONDS = 0.01
_SERVICE = models.Service(
    'drafts',
    models.GroupShape(
        engine_network.LAYERS,
        engine_network.EXPERTS,
        engine_network.EXPERT_SLOTS,
        spare_expert_slots=2,
        copy_seconds=_COPY_SECONDS,
        report_lag_seconds=engine_network.REPORT_LAG_SECONDS,
    ),
)
_START_SECONDS = 0.5
# Until another entry leads after one has given up, or after one was killed.
_VACANT_SECONDS = 0.1
_LEASE_SECONDS = 1.0


class _Lease(simulated_groups.Lease):
    """Leader lease, which its entry may hold for longer than it lasts."""

    def __init__(self):
        """Initialize the lease of an entry that does not lead."""
        super().__init__()
        self.fence = None


class Entry:
    """Entry that can be killed and starts again."""

    def __init__(self, group):
        """Initialize an entry that is not running."""
        self.lease = _Lease()
        self.is_running = False
        self.connections_opened = 0
        self._group = group
        self._scope = None

    async def run(self):
        """Run until the simulation ends, starting again after each kill."""
        while True:
            self._scope = anyio.CancelScope()
            with self._scope:
                await self._run_process()
            self.is_running = False
            self.lease = _Lease()
            await anyio.sleep(_START_SECONDS)

    def kill(self):
        """End the process."""
        if self.is_running:
            self._scope.cancel()

    async def _run_process(self):
        """Run a process; its connections end with it."""
        control = platform_engines.EngineControlClient(_ignore)
        upstreams = tuple(engine.upstream for engine in self._group.engines)
        dispatcher = simulated_groups.dispatcher_of(upstreams)
        dispatcher.counts = request_counts.record_start(
            dispatcher.counts, upstreams[0].upstream_id
        )
        balancer = expert_balancer.ExpertBalancer(
            control,
            dispatcher,
            self.lease,
            simulated_groups.distributor_without_peers(),
            metrics.Metrics(),
        )
        balancer.service = _SERVICE
        self.is_running = True
        try:
            await balancer.run()
        finally:
            await control.close()


class Leaders:
    """Entries, of which one leads at a time, but for what it knows."""

    def __init__(self, group, entries=2):
        """Initialize the entries without a leader."""
        self.group = group
        self.entries = [Entry(group) for _ in range(entries)]
        self.last_fence = 0
        self._tasks = None

    def run(self, scenario):
        """Run a scenario beside the group and the entries."""

        async def _main():
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self.group.run)
                for entry in self.entries:
                    tasks.start_soon(entry.run)
                tasks.start_soon(self._fill_vacancies)
                await scenario()
                tasks.cancel_scope.cancel()

        simulated_time.run(_main)

    def replace_leader(self, seconds):
        """Let another entry lead; the former one learns it some time later."""
        former = [entry for entry in self.entries if entry.lease.fence]
        others = [entry for entry in self.entries if entry not in former]
        if others and self._lead(self.group.generator.choice(others)):
            for entry in former:
                self._tasks.start_soon(_end_lease, entry.lease, seconds)

    async def _fill_vacancies(self):
        """Let a random entry lead whenever none does."""
        vacant_since = 0.0
        while True:
            await anyio.sleep(_VACANT_SECONDS / 2)
            now = anyio.current_time()
            if any(entry.lease.fence for entry in self.entries):
                vacant_since = now
            elif now - vacant_since > _VACANT_SECONDS:
                self._lead(self.group.generator.choice(self.entries))

    def _lead(self, entry):
        """Let an entry lead; return whether it is running."""
        if entry.is_running:
            self.last_fence += 1
            entry.lease.fence = self.last_fence
        return entry.is_running


async def _end_lease(lease, seconds):
    """Let an entry learn some time later that it leads no more."""
    await anyio.sleep(seconds)
    lease.fence = None


def _ignore(*_):
    """Ignore what engines say of themselves."""
