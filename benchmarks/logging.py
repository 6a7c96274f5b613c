"""Processor time of a log line: written, and dropped over the rate."""

import os
import time
import typing

import eliot

from benchmarks import report
from nutmegtrail.observability import logs

_LINES: typing.Final = 20_000
_RATES: typing.Final = (('written', 1e9), ('dropped', 1))
_MICROSECONDS_PER_SECOND: typing.Final = 1_000_000


def run(seed: int) -> report.Table:
    """Return a row for each fate of a line; the seed changes nothing."""
    rows = tuple(
        (fate, f'{_microseconds(rate):.0f} us') for fate, rate in _RATES
    )
    return report.Table('logging', ('line', 'processor time'), rows)


def _microseconds(lines_per_second: float) -> float:
    """Return the processor time of the line at the end of a request."""
    with open(os.devnull, 'w', encoding='utf-8') as sink:
        destination = logs.BoundedDestination(
            sink,
            logs._as_json,
            lines_per_second,
        )
        eliot.add_destinations(destination)
        try:
            began = time.process_time()
            for _ in range(_LINES):
                _log_line()
            seconds = time.process_time() - began
        finally:
            eliot.remove_destination(destination)
    return seconds / _LINES * _MICROSECONDS_PER_SECOND


def _log_line() -> None:
    """Log the end of a request."""
    logs.decision(
        'request:ended',
        request_id='9c41d07be2a35f68',
        route='r-4y8x7n2',
        client_account='hule930',
        configuration=121,
        choices=[
            {
                'upstream': 'i-935024f7e3',
                'in_flight': 2,
                'group_in_flight': 104,
                'group_room': 135.3,
                'pace_seconds': 0.0732,
                'after_seconds': 0.0012,
            },
        ],
        entries=9,
        outcome='answered',
        status=200,
        seconds=2.4031,
        first_event_seconds=0.1873,
        longest_pause_seconds=0.0981,
    )
