"""Runs of the soak: `python -m tests.soak.run --first 1 --seeds 50`."""

import argparse
import sys

import anyio

from tests.soak import world as worlds

ENTRIES = 3
HARM_SECONDS = 8.0
_CALM_SECONDS = 4.0
_SETTLE_SECONDS = 4.0
_LAST_ANSWERS_SECONDS = 3.5
_ASK_SECONDS = 0.02
_PAUSE_SECONDS = (0.05, 0.8)
LEAST_SERVED_AFTER_FAULTS = 0.95


async def run_seed(seed, harm_seconds=HARM_SECONDS, entries=ENTRIES):
    """Return the promises that a seed has broken, and where its logs are."""
    world = worlds.World(seed, entries)
    broken = []
    try:
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            asking = await tasks.start(_ask_on, world)
            with anyio.move_on_after(harm_seconds):
                async with anyio.create_task_group() as harms:
                    for _ in range(2):
                        harms.start_soon(_harm_on, world)
            await _mend(world)
            if world.is_held():
                broken.append('the group was held after the faults')
            since = len(world.answers_by_id)
            world.leave()
            await world.stop_calmly()
            await anyio.sleep(_CALM_SECONDS)
            asking.cancel()
            await anyio.sleep(_LAST_ANSWERS_SECONDS)
            share = world.served_share(since)
            if share < LEAST_SERVED_AFTER_FAULTS:
                broken.append(f'served {share:.3f} after the faults')
            tasks.cancel_scope.cancel()
    finally:
        world.close()
    return [*broken, *world.broken_promises()], world.folder


async def _ask_on(world, *, task_status):
    """Send requests at an even rate until cancelled."""
    async with anyio.create_task_group() as tasks:
        with anyio.CancelScope() as scope:
            task_status.started(scope)
            while True:
                tasks.start_soon(world.ask)
                await anyio.sleep(_ASK_SECONDS)


async def _harm_on(world):
    """Let faults follow each other; each one is mended, also at the end."""
    while True:
        await anyio.sleep(world.generator.uniform(*_PAUSE_SECONDS))
        with anyio.CancelScope(shield=True):
            await world.harm()


async def _mend(world):
    """Wait until all entries are ready again."""
    for entry in world.entries:
        while not await world.is_ready(entry):
            await anyio.sleep(0.1)
    await anyio.sleep(_SETTLE_SECONDS)


def main():
    """Run seeds one after the other; exit with 1 if any broke a promise."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--entries', type=int, default=ENTRIES)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        broken, folder = anyio.run(
            run_seed,
            seed,
            HARM_SECONDS,
            options.entries,
        )
        failed += bool(broken)
        sys.stdout.write(f'seed {seed}: {broken or "kept"} {folder}\n')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
