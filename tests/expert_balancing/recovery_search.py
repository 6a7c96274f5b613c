"""Search for orders of events after which a group stays held.

    python -m tests.expert_balancing.recovery_search --first 1 --seeds 100

A step is one drawn event: registrations that come and go, kills, stops, cuts,
crashes, outages, orders that are lost, late or unanswered, idle groups. After
each few of them the faults end; late orders may still be carried out. Then all
groups must pass again, on one map, and stay so.
"""

import random
import sys
import typing

import anyio
import typer

from tests.expert_balancing import lockstep_groups
from tests.expert_balancing import simulated_fleet

_EPISODES = 10
_PROGRESS_SEEDS = 10
_CALM_SECONDS = 7
_PASSING_SECONDS = 0.5
_PAUSES_SECONDS = (0, 0.01, 0.05, 0.2, 0.6)
_REREGISTRATION_SECONDS = 1.9
_HOLD_POLL_SECONDS = 0.003
_FATES = (
    lockstep_groups.Fates(),
    lockstep_groups.Fates(late=0.3),
    lockstep_groups.Fates(late=0.6),
    lockstep_groups.Fates(late=0.8),
    lockstep_groups.Fates(lost=0.2, late=0.2, unanswered=0.2),
    lockstep_groups.Fates(unanswered=0.5),
)
_LATE_FATES = _FATES[1:4]
_IDLE_END_RATIO = 0.4
_EVENTS = (
    'kill leader',
    'kill leader in a hold',
    'kill all',
    'kill all in a hold',
    'stop leader',
    'cut leader from store',
    'cut leader from ranks',
    'no store',
    'store',
    'expire some',
    'expire all',
    'register some',
    'crash a rank',
    'fates',
    'fates',
    'idle',
    'idle in a hold',
    'idle in a hold',
    'idle in a hold',
    'busy',
    'busy',
)


class Result(typing.NamedTuple):
    """What a search found, and how much it played."""

    faults: list[str]
    steps: int
    orders: int
    passes: int


class Search:
    """Random events in one simulation."""

    def __init__(self, seed):
        """Initialize the simulation of a seed."""
        sizes = random.Random(seed)
        self._simulation = simulated_fleet.Simulation(
            entries=sizes.choice((1, 2, 3)),
            groups=sizes.choice((1, 1, 2, 3)),
            seed=seed,
            copy_seconds=sizes.choice((0, lockstep_groups.COPY_SECONDS)),
        )
        self._generator = self._simulation.generator
        self._tasks = None
        self._steps = 0
        self._faults = []
        self._recent = []

    def run(self, episodes=_EPISODES):
        """Return the result of some episodes."""

        async def _scenario(simulation):
            simulation.set_busy(is_busy=True)
            await anyio.sleep(2)
            for _ in range(episodes):
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    tasks.start_soon(self._keep_shifting)
                    await self._play()
                    tasks.cancel_scope.cancel()
                await self._check()
                if self._faults:
                    return

        self._simulation.run(_scenario)
        groups = self._simulation.groups
        return Result(
            self._faults,
            self._steps,
            self._simulation.engines.order_count,
            sum(group.step for group in groups),
        )

    async def _play(self):
        """Play some events with pauses between them."""
        self._recent.clear()
        for _ in range(self._generator.randrange(8, 40)):
            event = self._generator.choice(_EVENTS)
            self._steps += 1
            self._recent.append(event)
            if event.endswith('in a hold'):
                await self._wait_for_hold()
            await self._begin(event.removesuffix(' in a hold'))
            await anyio.sleep(self._generator.choice(_PAUSES_SECONDS))
        if self._generator.random() < _IDLE_END_RATIO:
            await self._end_idle()

    async def _end_idle(self):
        """Let requests end in a switch with late orders, under one leader."""
        self._end_cuts()
        await self._register_all_late()
        self._simulation.engines.fates = self._generator.choice(_LATE_FATES)
        await self._busy()
        await anyio.sleep(self._generator.uniform(1, 3))
        await self._wait_for_hold()
        await self._idle()
        self._steps += 1
        self._recent.append('idle end')

    async def _begin(self, event):
        """Begin an event."""
        method = getattr(self, f'_{event.replace(" ", "_")}')
        await method()

    def _end_cuts(self):
        """End all outages and cuts."""
        self._simulation.store.is_down = False
        for entry in self._simulation.entries:
            entry.is_cut_from_store = False
            entry.unreachable_ids = frozenset()

    async def _register_all_late(self):
        """Let all ranks register within the time that the platform names."""
        async with anyio.create_task_group() as tasks:
            for group in self._simulation.groups:
                group.form()
                for number in range(lockstep_groups.RANKS):
                    tasks.start_soon(self._register_late, group, number)

    async def _check(self):
        """End all faults; record what is wrong after the calm."""
        simulation = self._simulation
        simulation.engines.fates = lockstep_groups.Fates()
        self._end_cuts()
        await self._register_all_late()
        if self._generator.random() < 0.5:
            await anyio.sleep(self._generator.uniform(0, 4))
        await self._busy()
        await anyio.sleep(_CALM_SECONDS)
        before = [group.step for group in simulation.groups]
        await anyio.sleep(_PASSING_SECONDS)
        for group, step in zip(simulation.groups, before, strict=True):
            if group.step == step:
                self._faults.append(
                    f'{group.name} stands at {step}, held: {group.held_steps()}'
                )
            self._faults.extend(group.violations)
        if self._faults:
            self._faults.append(f'after {self._recent}')

    async def _wait_for_hold(self):
        """Wait for a moment until a group is held."""
        groups = self._simulation.groups
        with anyio.move_on_after(1):
            while all(group.is_released() for group in groups):
                await anyio.sleep(_HOLD_POLL_SECONDS)

    async def _kill_leader(self):
        """Kill the leader."""
        leader = self._simulation.leader()
        if leader is not None:
            self._kill(leader)

    async def _kill_all(self):
        """Kill all entries."""
        for entry in self._simulation.entries:
            self._kill(entry)

    def _kill(self, entry):
        """Kill an entry, which starts again after a while."""
        entry.start_seconds = self._generator.uniform(0.1, 1.5)
        entry.kill()

    async def _stop_leader(self):
        """Stop the leader as planned."""
        leader = self._simulation.leader()
        if leader is not None:
            leader.start_seconds = self._generator.uniform(0.1, 1.5)
            self._tasks.start_soon(leader.stop)

    async def _cut_leader_from_store(self):
        """Cut the leader off from the store, or end such cuts."""
        leader = self._simulation.leader()
        for entry in self._simulation.entries:
            entry.is_cut_from_store = entry is leader

    async def _cut_leader_from_ranks(self):
        """Cut the leader off from a rank, or end such cuts."""
        leader = self._simulation.leader()
        rank = self._generator.choice(self._members()).upstream_id
        for entry in self._simulation.entries:
            entry.unreachable_ids = frozenset((rank,) * (entry is leader))

    async def _no_store(self):
        """Begin an outage of the store."""
        self._simulation.store.is_down = True

    async def _store(self):
        """End an outage of the store."""
        self._simulation.store.is_down = False

    async def _expire_some(self):
        """Let a registration expire."""
        member = self._generator.choice(self._members())
        self._simulation.store.remove(member.upstream_id)

    async def _expire_all(self):
        """Let all registrations expire."""
        for member in self._members():
            self._simulation.store.remove(member.upstream_id)

    async def _register_some(self):
        """Let a rank register."""
        member = self._generator.choice(self._members())
        self._simulation.store.register(member)

    async def _crash_a_rank(self):
        """Let a rank crash, and its group form anew."""
        group = self._generator.choice(self._simulation.groups)
        if group.is_open:
            group.crash(self._generator.randrange(lockstep_groups.RANKS))
            self._tasks.start_soon(self._form, group)

    async def _fates(self):
        """Let orders get lost or late."""
        self._simulation.engines.fates = self._generator.choice(_FATES)

    async def _idle(self):
        """End all requests."""
        self._simulation.set_busy(is_busy=False)

    async def _busy(self):
        """Let requests come again."""
        self._simulation.set_busy(is_busy=True)

    async def _keep_shifting(self):
        """Let other experts be in demand, so that groups are switched."""
        while True:
            await anyio.sleep(self._generator.uniform(0.2, 1))
            self._generator.choice(self._simulation.groups).shifts += 1

    async def _form(self, group):
        """Form a group anew, whose ranks tell that one by one."""
        await anyio.sleep(self._generator.uniform(0.3, 1))
        group.form()
        for number in range(lockstep_groups.RANKS):
            await anyio.sleep(self._generator.uniform(0, 0.2))
            self._simulation.store.register(group.member(number))

    async def _register_late(self, group, number):
        """Register a rank within the time that the platform names."""
        await anyio.sleep(self._generator.uniform(0, _REREGISTRATION_SECONDS))
        self._simulation.store.register(group.member(number))

    def _members(self):
        """Return the registrations of all ranks."""
        return [
            group.member(number)
            for group in self._simulation.groups
            for number in range(lockstep_groups.RANKS)
        ]


def main(first: int = 1, seeds: int = 100, episodes: int = _EPISODES) -> None:
    """Play some seeds and print what was found, and from time to time how far."""
    results = []
    for seed in range(first, first + seeds):
        found = Search(seed).run(episodes)
        results.append(found)
        for fault in found.faults:
            sys.stdout.write(f'seed {seed}: {fault}\n')
        if not len(results) % _PROGRESS_SEEDS or len(results) == seeds:
            _print_progress(first, results)
    sys.exit(any(found.faults for found in results))


def _print_progress(first, results):
    """Print what the seeds so far have played."""
    failed = sum(bool(found.faults) for found in results)
    sys.stdout.write(
        f'{len(results)} seeds from {first}: {failed} failed; '
        f'{sum(found.steps for found in results)} steps, '
        f'{sum(found.orders for found in results)} orders, '
        f'{sum(found.passes for found in results)} passes\n'
    )
    sys.stdout.flush()


if __name__ == '__main__':
    typer.run(main)
