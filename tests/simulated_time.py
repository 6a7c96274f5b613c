"""Execution of asynchronous tests in simulated time.

The clock of the event loop jumps to the next timer.
"""

import anyio
import looptime


def run(scenario):
    """Run a scenario and return its result; sleeping takes no real time."""
    return anyio.run(
        scenario,
        backend_options={'loop_factory': _create_loop},
    )


def _create_loop():
    """Return an event loop whose clock starts at zero."""
    return looptime.new_event_loop(start=0)
