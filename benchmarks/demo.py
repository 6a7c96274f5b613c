"""The demonstration: three requests, a killed sidecar, a killed entry."""

import collections.abc
import signal
import sys
import threading
import time
import typing
import uuid

import httpx

from benchmarks import launcher
from benchmarks import testbed

_TOKENS: typing.Final = 60
_CALL_SECONDS: typing.Final = 0.5
_ATTEMPTS: typing.Final = 10
_KILL_AFTER_EVENTS: typing.Final = 10
_RETRY_SECONDS: typing.Final = 0.5
_TIMEOUT_SECONDS: typing.Final = 30.0
_HEADERS: typing.Final = (('authorization', testbed.AUTHORIZATION),)


class Report(typing.NamedTuple):
    """What a caller got and how often the upstreams ran the request."""

    name: str
    got: str
    runs: int
    kept: bool


def main() -> int:
    """Run the demonstration; return 1 if a promise broke."""
    deployment = launcher.Launcher()
    try:
        testbed.start(deployment, call_seconds=_CALL_SECONDS)
        reports = [
            _stream_through_kill(deployment),
            _read_plain(deployment),
            _confirm_through_kill(deployment),
        ]
    finally:
        deployment.close()
    for report in reports:
        _print(report)
    return 0 if all(report.kept for report in reports) else 1


def _print(report: Report) -> None:
    """Print what became of one request."""
    mark = 'kept' if report.kept else 'BROKEN'
    print(f'{report.name}: {report.got}; runs {report.runs}; {mark}')


def _stream_through_kill(deployment: launcher.Launcher) -> Report:
    """Stream advice while the sidecar that serves it is killed."""
    body = {
        'model': testbed.MODEL,
        'stream': True,
        'max_tokens': _TOKENS,
        'messages': [{'role': 'user', 'content': 'summarise the quotes'}],
    }
    events: list[str] = []
    url = f'{deployment.url("entry-a")}/v1/chat/completions'
    with httpx.stream(
        'POST',
        url,
        json=body,
        headers=dict(_HEADERS),
        timeout=_TIMEOUT_SECONDS,
    ) as response:
        for line in response.iter_lines():
            if not line.startswith('data: '):
                continue
            events.append(line)
            if len(events) == _KILL_AFTER_EVENTS:
                _kill_busy_sidecar(deployment)
        status = response.status_code
    whole = len(events) == _TOKENS + 1 and events[-1] == 'data: [DONE]'
    distinct = len(set(events)) == len(events)
    runs = sum(_engine_runs(deployment))
    got = f'{status}, {len(events)} of {_TOKENS + 1} events'
    return Report(
        'streamed advice, sidecar killed', got, runs, whole and distinct
    )


def _kill_busy_sidecar(deployment: launcher.Launcher) -> None:
    """Kill the sidecar whose engine generates."""
    for place, runs in enumerate(_engine_runs(deployment)):
        sidecar = f'engine-sidecar-{place}'
        if runs and deployment.processes_by_name[sidecar].popen.poll() is None:
            deployment.send_signal(sidecar, signal.SIGKILL)


def _read_plain(deployment: launcher.Launcher) -> Report:
    """Read from the plain service through another entry."""
    url = f'{deployment.url("entry-b")}/services/{testbed.SERVICE}/barges/7'
    response = httpx.get(url, headers=dict(_HEADERS), timeout=_TIMEOUT_SECONDS)
    got = f'{response.status_code}, {response.text}'
    return Report('plain read', got, 1, response.is_success)


def _confirm_through_kill(deployment: launcher.Launcher) -> Report:
    """Confirm an order while its entry is killed; come back by another."""
    key = uuid.uuid4().hex
    first = threading.Thread(
        target=_confirm_ignoring_loss,
        args=(deployment, 'entry-c', key),
    )
    first.start()
    time.sleep(0.1)
    deployment.send_signal('entry-c', signal.SIGKILL)
    first.join()
    response = _retry(lambda: _confirm(deployment, 'entry-b', key))
    runs = sum(_service_runs(deployment, key))
    got = f'{response.status_code}, {response.text}'
    kept = response.is_success and runs == 1
    return Report('order confirmation, entry killed', got, runs, kept)


def _confirm_ignoring_loss(
    deployment: launcher.Launcher,
    entry: str,
    key: str,
) -> None:
    """Send a confirmation whose entry may die."""
    try:
        _confirm(deployment, entry, key)
    except httpx.HTTPError as error:
        print(f'first try of the confirmation: {type(error).__name__}')


def _confirm(
    deployment: launcher.Launcher,
    entry: str,
    key: str,
) -> httpx.Response:
    """Send an order confirmation."""
    return httpx.post(
        f'{deployment.url(entry)}/services/{testbed.SERVICE}/orders/confirm',
        json={'order': 'barge 7 to berth 4'},
        headers={**dict(_HEADERS), 'idempotency-key': key},
        timeout=_TIMEOUT_SECONDS,
    )


def _retry(
    send: collections.abc.Callable[[], httpx.Response],
) -> httpx.Response:
    """Repeat a request until it succeeds or is refused for good."""
    response = send()
    for _ in range(_ATTEMPTS):
        if response.is_success or 'retry-after' not in response.headers:
            break
        time.sleep(_RETRY_SECONDS)
        response = send()
    return response


def _engine_runs(deployment: launcher.Launcher) -> list[int]:
    """Return how many requests each engine ran."""
    return [
        sum(_runs(deployment, f'engine-{place}')['by_request'].values())
        for place in range(len(launcher.FAILURE_DOMAINS))
    ]


def _service_runs(deployment: launcher.Launcher, key: str) -> list[int]:
    """Return how often each service ran a key."""
    return [
        _runs(deployment, f'service-{place}')['by_key'].get(key, 0)
        for place in range(len(launcher.FAILURE_DOMAINS))
    ]


def _runs(deployment: launcher.Launcher, name: str) -> dict[str, typing.Any]:
    """Return an upstream's own count of its runs."""
    response = httpx.get(f'{deployment.url(name)}/stand-in/runs')
    counts: dict[str, typing.Any] = response.json()
    return counts


if __name__ == '__main__':
    sys.exit(main())
