"""Cost of control in idle entries: processor time, memory, store calls."""

import time
import typing

import httpx

from benchmarks import launcher
from benchmarks import path
from benchmarks import report

_SIZES: typing.Final = (2, 4, 8, 16)
_SETTLE_SECONDS: typing.Final = 4.0
_WATCH_SECONDS: typing.Final = 12.0


def run(seed: int) -> report.Table:
    """Return a row for each number of entries."""
    rows = tuple(_measure(size) for size in _SIZES)
    heads = ('entries', 'processor share', 'memory', 'store calls a second')
    return report.Table('idle', heads, rows)


def _measure(size: int) -> tuple[str, ...]:
    """Measure idle entries for a while."""
    deployment = launcher.Launcher()
    names = [f'entry-{number}' for number in range(size)]
    try:
        _start(deployment, names)
        time.sleep(_SETTLE_SECONDS)
        calls = _calls(deployment)
        before = [path.usage(deployment, name).seconds for name in names]
        time.sleep(_WATCH_SECONDS)
        after = [path.usage(deployment, name) for name in names]
        calls = _calls(deployment) - calls
    finally:
        deployment.close()
    shares = [
        (ended.seconds - began) / _WATCH_SECONDS
        for began, ended in zip(before, after, strict=True)
    ]
    memory = max(ended.mebibytes for ended in after)
    return (
        str(size),
        f'mean {sum(shares) / size:.2%}, most {max(shares):.2%}',
        f'{memory:.0f} MB',
        f'{calls / _WATCH_SECONDS:.2f}',
    )


def _start(deployment: launcher.Launcher, names: list[str]) -> None:
    """Start the platform and the entries."""
    deployment.start_platform()
    domains = launcher.FAILURE_DOMAINS
    for number, name in enumerate(names):
        deployment.start_entry(name, domains[number % len(domains)])
    launcher.wait_for_endpoint(f'http://{deployment.host_list}', '/hosts')
    deployment.publish_hosts()
    deployment.wait_until_ready(*names)


def _calls(deployment: launcher.Launcher) -> int:
    """Return the calls that the key-value service has taken."""
    url = f'http://{deployment.key_value}/stand-in/counts'
    counts = httpx.get(url).json()
    return int(counts['reads'] + counts['writes'])
