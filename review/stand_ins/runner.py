"""Entry point of the cases and their exit codes."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from review.stand_ins import deployment as deployments

_HELD = 0
_BROKEN = 1
_NOT_RUN = 2
_LIMIT_SECONDS = 115


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(folder, entry_count, scenario):
    """Run a scenario, which returns why the rule is broken or ''."""
    sys.exit(asyncio.run(_run(pathlib.Path(folder), entry_count, scenario)))


async def _run(folder, entry_count, scenario):
    """Run a scenario and return the exit code."""
    deployment = deployments.Deployment(folder, entry_count)
    task = asyncio.current_task()
    # The entries are ended too if the case is stopped.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(_LIMIT_SECONDS):
            verdict = await scenario(deployment)
    except (
        deployments.CannotRunError,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        verdict = None
        deployment.record.note(f'cannot run: {error!r}')
        sys.stdout.write(f'cannot run: {error!r}\n')
    except Exception:
        verdict = None
        traceback.print_exc()
    finally:
        deployment.close()
    if verdict is None:
        return _NOT_RUN
    sys.stdout.write(f'{verdict or "the rule held"}\n')
    return _BROKEN if verdict else _HELD
