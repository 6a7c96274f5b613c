"""Latency and throughput of requests through an entry and a sidecar.

All processes run separately on the loopback interface.
"""

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

_REQUEST_COUNT: typing.Final = 200
_REQUESTS_PER_SECOND: typing.Final = 20
_STREAM_COUNTS: typing.Final = (8, 16, 32, 64)
_TOKENS_PER_STREAM: typing.Final = 400
_TICKS_PER_SECOND: typing.Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MEBIBYTE: typing.Final = 1_048_576
_TIMEOUT_SECONDS: typing.Final = 120.0
# Zero-based index of utime in /proc/PID/stat; stime follows it. The first two
# fields (PID and command) are cut off before the others are split.
_UTIME_FIELD_INDEX: typing.Final = 13
_Row: typing.TypeAlias = tuple[str, ...]


class Usage(typing.NamedTuple):
    """CPU time and resident memory of a process."""

    cpu_seconds: float
    resident_mebibytes: float


def run(seed: int) -> report.Table:
    """Return a table of latencies and throughputs; the seed is not used."""
    deployment = launcher.Launcher()
    try:
        testbed.start(deployment, token_seconds=0)
        rows = [
            *anyio.run(_measure_latencies, deployment),
            *(
                _measure_throughput(deployment, stream_count)
                for stream_count in _STREAM_COUNTS
            ),
        ]
    finally:
        deployment.close()
    headers = ('what', 'size', 'figure', 'entry', 'sidecars')
    return report.Table('path', headers, tuple(rows))


async def _measure_latencies(deployment: launcher.Launcher) -> list[_Row]:
    """Measure reads from a service, in turn directly and through an entry."""
    direct_milliseconds: list[float] = []
    entry_milliseconds: list[float] = []
    service_url = f'{deployment.url("service-0")}/barges/7'
    entry_url = (
        f'{deployment.url("entry-a")}/services/{testbed.SERVICE}/barges/7'
    )
    headers = {'authorization': testbed.AUTHORIZATION}
    async with httpx.AsyncClient(timeout=_TIMEOUT_SECONDS) as client:
        for _ in range(_REQUEST_COUNT):
            direct_milliseconds.append(
                await _measure_read(client, service_url, headers)
            )
            entry_milliseconds.append(
                await _measure_read(client, entry_url, headers)
            )
            await anyio.sleep(1 / _REQUESTS_PER_SECOND)
    return [
        _latency_row('direct', direct_milliseconds),
        _latency_row('through entry and sidecar', entry_milliseconds),
    ]


async def _measure_read(
    client: httpx.AsyncClient,
    url: str,
    headers: dict[str, str],
) -> float:
    """Return the latency of one read in milliseconds."""
    started_at = time.perf_counter()
    response = await client.get(url, headers=headers)
    response.raise_for_status()
    return (
        time.perf_counter() - started_at
    ) * shared_const.MILLISECONDS_PER_SECOND


def _latency_row(name: str, milliseconds: list[float]) -> _Row:
    """Return a row with the median and the 99th percentile."""
    percentiles = statistics.quantiles(milliseconds, n=100)
    median = statistics.median(milliseconds)
    return (
        'plain read',
        name,
        f'median {median:.2f} ms, 99th {percentiles[98]:.2f} ms',
        '',
        '',
    )


def _measure_throughput(
    deployment: launcher.Launcher, stream_count: int
) -> _Row:
    """Measure concurrent streams through one entry."""
    names = [f'engine-sidecar-{index}' for index in range(3)]
    entry_usage_before = read_usage(deployment, 'entry-a')
    sidecar_seconds_before = sum(
        read_usage(deployment, name).cpu_seconds for name in names
    )
    started_at = time.perf_counter()
    token_count = anyio.run(_run_streams, deployment, stream_count)
    elapsed_seconds = time.perf_counter() - started_at
    entry_usage_after = read_usage(deployment, 'entry-a')
    entry_seconds = (
        entry_usage_after.cpu_seconds - entry_usage_before.cpu_seconds
    )
    sidecar_seconds = (
        sum(read_usage(deployment, name).cpu_seconds for name in names)
        - sidecar_seconds_before
    )
    return (
        'streams',
        f'{stream_count} at once',
        f'{token_count / elapsed_seconds:.0f} tokens/s',
        f'{token_count / entry_seconds:.0f} tokens a core second, '
        f'{entry_usage_after.resident_mebibytes:.0f} MB',
        f'{token_count / sidecar_seconds:.0f} tokens a core second',
    )


async def _run_streams(deployment: launcher.Launcher, stream_count: int) -> int:
    """Run concurrent streams and return the number of tokens received."""
    token_counts: list[int] = []
    async with httpx.AsyncClient(timeout=_TIMEOUT_SECONDS) as client:
        async with anyio.create_task_group() as tasks:
            for stream_number in range(stream_count):
                url = f'{deployment.url("entry-a")}/v1/chat/completions'
                tasks.start_soon(
                    _stream, client, url, stream_number, token_counts
                )
    return sum(token_counts)


async def _stream(
    client: httpx.AsyncClient,
    url: str,
    stream_number: int,
    token_counts: list[int],
) -> None:
    """Run one stream and append the number of its tokens.

    Every event has one token, except for the last one.
    """
    body = {
        'model': testbed.MODEL,
        'stream': True,
        'max_tokens': _TOKENS_PER_STREAM,
        'messages': [{'role': 'user', 'content': f'summary {stream_number}'}],
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
        async for chunk in response.aiter_raw():
            payload.extend(chunk)
    token_counts.append(payload.count(b'data: ') - 1)


def read_usage(deployment: launcher.Launcher, name: str) -> Usage:
    """Return the resource usage of a started process."""
    pid = deployment.processes_by_name[name].popen.pid
    stat_line = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat_line.rpartition(')')[2].split()
    ticks = int(fields[_UTIME_FIELD_INDEX - 2]) + int(
        fields[_UTIME_FIELD_INDEX - 1]
    )
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return Usage(
        ticks / _TICKS_PER_SECOND,
        pages * _PAGE_BYTES / _BYTES_PER_MEBIBYTE,
    )
