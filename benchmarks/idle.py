"""Cost of idle entries: CPU time, memory and calls to the key-value store."""

import time
import typing

import httpx

from benchmarks import launcher
from benchmarks import path
from benchmarks import report

_ENTRY_COUNTS: typing.Final = (2, 4, 8, 16)
_WARM_UP_SECONDS: typing.Final = 4.0
_MEASUREMENT_SECONDS: typing.Final = 12.0


def run(seed: int) -> report.Table:
    """Return a row for each number of entries; the seed is not used."""
    rows = tuple(_measure(entry_count) for entry_count in _ENTRY_COUNTS)
    headers = ('entries', 'processor share', 'memory', 'store calls a second')
    return report.Table('idle', headers, rows)


def _measure(entry_count: int) -> tuple[str, ...]:
    """Measure a deployment of idle entries.

    CPU time and store calls count only after the warm-up.
    """
    deployment = launcher.Launcher()
    names = [f'entry-{index}' for index in range(entry_count)]
    try:
        _start_entries(deployment, names)
        time.sleep(_WARM_UP_SECONDS)
        store_calls = _count_store_calls(deployment)
        cpu_seconds_before = [
            path.read_usage(deployment, name).cpu_seconds for name in names
        ]
        time.sleep(_MEASUREMENT_SECONDS)
        usages_after = [path.read_usage(deployment, name) for name in names]
        store_calls = _count_store_calls(deployment) - store_calls
    finally:
        deployment.close()
    cpu_shares = [
        (usage_after.cpu_seconds - seconds_before) / _MEASUREMENT_SECONDS
        for seconds_before, usage_after in zip(
            cpu_seconds_before, usages_after, strict=True
        )
    ]
    largest_mebibytes = max(
        usage_after.resident_mebibytes for usage_after in usages_after
    )
    return (
        str(entry_count),
        f'mean {sum(cpu_shares) / entry_count:.2%}, most {max(cpu_shares):.2%}',
        f'{largest_mebibytes:.0f} MB',
        f'{store_calls / _MEASUREMENT_SECONDS:.2f}',
    )


def _start_entries(deployment: launcher.Launcher, names: list[str]) -> None:
    """Start the platform and the entries, and wait until they are ready."""
    deployment.start_platform()
    domains = launcher.FAILURE_DOMAINS
    for index, name in enumerate(names):
        deployment.start_entry(name, domains[index % len(domains)])
    launcher.wait_for_endpoint(f'http://{deployment.host_list}', '/hosts')
    deployment.publish_hosts()
    deployment.wait_until_ready(*names)


def _count_store_calls(deployment: launcher.Launcher) -> int:
    """Return the number of reads and writes that the key-value store served."""
    url = f'http://{deployment.key_value}/stand-in/counts'
    counts = httpx.get(url).json()
    return int(counts['reads'] + counts['writes'])
