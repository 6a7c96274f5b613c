"""CPU time of a log line that is written or dropped by the rate limit."""

import os
import time
import typing

import eliot

from benchmarks import report
from nutmegtrail.observability import logs

_LINE_COUNT: typing.Final = 20_000
_LINES_PER_SECOND_BY_CASE: typing.Final = (('written', 1e9), ('dropped', 1))
_MICROSECONDS_PER_SECOND: typing.Final = 1_000_000


def run(seed: int) -> report.Table:
    """Return a row for written and for dropped lines; the seed is not used."""
    rows = tuple(
        (case, f'{_measure_cpu_microseconds(lines_per_second):.0f} us')
        for case, lines_per_second in _LINES_PER_SECOND_BY_CASE
    )
    return report.Table('logging', ('line', 'processor time'), rows)


def _measure_cpu_microseconds(lines_per_second: float) -> float:
    """Return the mean CPU time of one line at the end of a request."""
    with open(os.devnull, 'w', encoding='utf-8') as sink:
        destination = logs.BoundedDestination(
            sink,
            logs._as_json,
            lines_per_second,
        )
        eliot.add_destinations(destination)
        try:
            started_at = time.process_time()
            for _ in range(_LINE_COUNT):
                _log_line()
            cpu_seconds = time.process_time() - started_at
        finally:
            eliot.remove_destination(destination)
    return cpu_seconds / _LINE_COUNT * _MICROSECONDS_PER_SECOND


def _log_line() -> None:
    """Log the end of a request, with the fields of a typical request."""
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
