"""Runs asynchronous tests on a clock that jumps to the next timer."""

import anyio
import looptime


def run(scenario):
    """Return what a scenario returns; waiting takes no real time."""
    return anyio.run(
        scenario,
        backend_options={'loop_factory': _create_loop},
    )


def _create_loop():
    """Return an event loop whose clock starts at zero."""
    return looptime.new_event_loop(start=0)
