"""Execution of asynchronous tests in simulated time.

The clock of the event loop jumps to the next timer.
"""

import functools

import anyio
import looptime


def run(scenario, **loop_options):
    """Run a scenario and return its result; sleeping takes no real time."""
    return anyio.run(
        scenario,
        backend_options={
            'loop_factory': functools.partial(_create_loop, **loop_options)
        },
    )


def _create_loop(**options):
    """Return an event loop whose clock starts at zero."""
    return looptime.new_event_loop(start=0, **options)
