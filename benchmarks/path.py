"""The whole path in separate processes: added latency, tokens a core."""

import os
import pathlib
import statistics
import time
import typing

import anyio
import httpx

from benchmarks import launcher
from benchmarks import report
from benchmarks import testbed
from nutmegtrail import const as shared_const

_REQUESTS: typing.Final = 200
_RATE_PER_SECOND: typing.Final = 20
_STREAMS: typing.Final = (8, 16, 32, 64)
_TOKENS: typing.Final = 400
_TICKS_PER_SECOND: typing.Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MEBIBYTE: typing.Final = 1_048_576
_TIMEOUT_SECONDS: typing.Final = 120.0
_UTIME_FIELD: typing.Final = 13
_Row: typing.TypeAlias = tuple[str, ...]


class Usage(typing.NamedTuple):
    """Processor seconds and resident memory of a process."""

    seconds: float
    mebibytes: float


def run(seed: int) -> report.Table:
    """Return latencies and the cost of forwarding."""
    deployment = launcher.Launcher()
    try:
        testbed.start(deployment, token_seconds=0)
        rows = [
            *anyio.run(_latencies, deployment),
            *(_throughput(deployment, streams) for streams in _STREAMS),
        ]
    finally:
        deployment.close()
    heads = ('what', 'size', 'figure', 'entry', 'sidecars')
    return report.Table('path', heads, tuple(rows))


async def _latencies(deployment: launcher.Launcher) -> list[_Row]:
    """Measure plain reads directly and through the path, in turn."""
    direct: list[float] = []
    through: list[float] = []
    service = f'{deployment.url("service-0")}/barges/7'
    entry = f'{deployment.url("entry-a")}/services/{testbed.SERVICE}/barges/7'
    headers = {'authorization': testbed.AUTHORIZATION}
    async with httpx.AsyncClient(timeout=_TIMEOUT_SECONDS) as client:
        for _ in range(_REQUESTS):
            direct.append(await _timed(client, service, headers))
            through.append(await _timed(client, entry, headers))
            await anyio.sleep(1 / _RATE_PER_SECOND)
    return [
        _latency_row('direct', direct),
        _latency_row('through entry and sidecar', through),
    ]


async def _timed(
    client: httpx.AsyncClient,
    url: str,
    headers: dict[str, str],
) -> float:
    """Return the milliseconds of one read."""
    began = time.perf_counter()
    response = await client.get(url, headers=headers)
    response.raise_for_status()
    return (time.perf_counter() - began) * shared_const.MILLISECONDS_PER_SECOND


def _latency_row(name: str, milliseconds: list[float]) -> _Row:
    """Return the median and the 99th percentile."""
    cuts = statistics.quantiles(milliseconds, n=100)
    median = statistics.median(milliseconds)
    return (
        'plain read',
        name,
        f'median {median:.2f} ms, 99th {cuts[98]:.2f} ms',
        '',
        '',
    )


def _throughput(deployment: launcher.Launcher, streams: int) -> _Row:
    """Measure streams that run at once through one entry."""
    names = [f'engine-sidecar-{place}' for place in range(3)]
    before = usage(deployment, 'entry-a')
    sidecars = sum(usage(deployment, name).seconds for name in names)
    began = time.perf_counter()
    tokens = anyio.run(_run_streams, deployment, streams)
    elapsed = time.perf_counter() - began
    after = usage(deployment, 'entry-a')
    entry_seconds = after.seconds - before.seconds
    sidecar_seconds = (
        sum(usage(deployment, name).seconds for name in names) - sidecars
    )
    return (
        'streams',
        f'{streams} at once',
        f'{tokens / elapsed:.0f} tokens/s',
        f'{tokens / entry_seconds:.0f} tokens a core second, '
        f'{after.mebibytes:.0f} MB',
        f'{tokens / sidecar_seconds:.0f} tokens a core second',
    )


async def _run_streams(deployment: launcher.Launcher, streams: int) -> int:
    """Run streams at once; return the tokens received."""
    received: list[int] = []
    async with httpx.AsyncClient(timeout=_TIMEOUT_SECONDS) as client:
        async with anyio.create_task_group() as tasks:
            for number in range(streams):
                url = f'{deployment.url("entry-a")}/v1/chat/completions'
                tasks.start_soon(_stream, client, url, number, received)
    return sum(received)


async def _stream(
    client: httpx.AsyncClient,
    url: str,
    number: int,
    received: list[int],
) -> None:
    """Run one stream and count its events."""
    body = {
        'model': testbed.MODEL,
        'stream': True,
        'max_tokens': _TOKENS,
        'messages': [{'role': 'user', 'content': f'summary {number}'}],
    }
    headers = {'authorization': testbed.AUTHORIZATION}
    payload = bytearray()
    async with client.stream(
        'POST',
        url,
        json=body,
        headers=headers,
    ) as response:
        response.raise_for_status()
        async for part in response.aiter_raw():
            payload.extend(part)
    received.append(payload.count(b'data: ') - 1)


def usage(deployment: launcher.Launcher, name: str) -> Usage:
    """Return what a started process has used."""
    number = deployment.processes_by_name[name].popen.pid
    stat = pathlib.Path(f'/proc/{number}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_UTIME_FIELD - 2]) + int(fields[_UTIME_FIELD - 1])
    pages = int(pathlib.Path(f'/proc/{number}/statm').read_text().split()[1])
    return Usage(
        ticks / _TICKS_PER_SECOND,
        pages * _PAGE_BYTES / _BYTES_PER_MEBIBYTE,
    )
