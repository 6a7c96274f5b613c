"""Execution of asynchronous tests in simulated time.

The clock of the event loop jumps to the next timer.
"""

import functools

import anyio
import looptime

# Polls for input and output before the clock jumps.
_POLLS = 42


def run(scenario, *, has_io=True):
    """Run a scenario and return its result; sleeping takes no real time.

    One without input and output runs faster.
    """
    loop_factory = functools.partial(
        looptime.new_event_loop,
        start=0,
        noop_cycles=_POLLS if has_io else 0,
    )
    return anyio.run(scenario, backend_options={'loop_factory': loop_factory})
