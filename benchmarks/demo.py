"""Demonstration: three requests, of which two survive the kill of a process."""

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

_TOKEN_COUNT: typing.Final = 60
_SERVICE_CALL_SECONDS: typing.Final = 0.5
_MAX_RETRIES: typing.Final = 10
_KILL_AFTER_EVENTS: typing.Final = 10
_RETRY_DELAY_SECONDS: typing.Final = 0.5
_TIMEOUT_SECONDS: typing.Final = 30.0
_HEADERS: typing.Final = (('authorization', testbed.AUTHORIZATION),)


class Outcome(typing.NamedTuple):
    """Answer to a caller and number of times that upstreams ran the request."""

    name: str
    received: str
    runs: int
    is_guarantee_kept: bool


def main() -> int:
    """Run the demonstration; return 1 if a guarantee was violated."""
    deployment = launcher.Launcher()
    try:
        testbed.start(deployment, call_seconds=_SERVICE_CALL_SECONDS)
        outcomes = [
            _stream_during_sidecar_kill(deployment),
            _read_from_service(deployment),
            _confirm_during_entry_kill(deployment),
        ]
    finally:
        deployment.close()
    for outcome in outcomes:
        _print_outcome(outcome)
    return 0 if all(outcome.is_guarantee_kept for outcome in outcomes) else 1


def _print_outcome(outcome: Outcome) -> None:
    """Print the outcome of one request."""
    verdict = (
        'guarantee kept' if outcome.is_guarantee_kept else 'GUARANTEE VIOLATED'
    )
    print(f'{outcome.name}: {outcome.received}; runs {outcome.runs}; {verdict}')


def _stream_during_sidecar_kill(deployment: launcher.Launcher) -> Outcome:
    """Stream an answer and kill the serving sidecar meanwhile."""
    body = {
        'model': testbed.MODEL,
        'stream': True,
        'max_tokens': _TOKEN_COUNT,
        'messages': [{'role': 'user', 'content': 'summarise the quotes'}],
    }
    event_lines: list[str] = []
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
            event_lines.append(line)
            if len(event_lines) == _KILL_AFTER_EVENTS:
                _kill_serving_sidecar(deployment)
        status = response.status_code
    is_complete = (
        len(event_lines) == _TOKEN_COUNT + 1
        and event_lines[-1] == 'data: [DONE]'
    )
    is_free_of_duplicates = len(set(event_lines)) == len(event_lines)
    runs = sum(_count_runs_by_engine(deployment))
    received = f'{status}, {len(event_lines)} of {_TOKEN_COUNT + 1} events'
    return Outcome(
        'streamed answer, sidecar killed',
        received,
        runs,
        is_complete and is_free_of_duplicates,
    )


def _kill_serving_sidecar(deployment: launcher.Launcher) -> None:
    """Kill the running sidecars of all engines that have run a request."""
    for index, runs in enumerate(_count_runs_by_engine(deployment)):
        sidecar = f'engine-sidecar-{index}'
        if runs and deployment.processes_by_name[sidecar].popen.poll() is None:
            deployment.send_signal(sidecar, signal.SIGKILL)


def _read_from_service(deployment: launcher.Launcher) -> Outcome:
    """Send a read to the service through another entry."""
    url = f'{deployment.url("entry-b")}/services/{testbed.SERVICE}/barges/7'
    response = httpx.get(url, headers=dict(_HEADERS), timeout=_TIMEOUT_SECONDS)
    received = f'{response.status_code}, {response.text}'
    return Outcome('read from a service', received, 1, response.is_success)


def _confirm_during_entry_kill(deployment: launcher.Launcher) -> Outcome:
    """Confirm an order, kill its entry and retry through another entry.

    Both attempts have the same idempotency key, so the order must run once.
    """
    key = uuid.uuid4().hex
    first_attempt = threading.Thread(
        target=_confirm_ignoring_errors,
        args=(deployment, 'entry-c', key),
    )
    first_attempt.start()
    time.sleep(0.1)
    deployment.send_signal('entry-c', signal.SIGKILL)
    first_attempt.join()
    response = _send_with_retries(lambda: _confirm(deployment, 'entry-b', key))
    runs = sum(_count_runs_by_service(deployment, key))
    received = f'{response.status_code}, {response.text}'
    is_guarantee_kept = response.is_success and runs == 1
    return Outcome(
        'order confirmation, entry killed', received, runs, is_guarantee_kept
    )


def _confirm_ignoring_errors(
    deployment: launcher.Launcher,
    entry: str,
    key: str,
) -> None:
    """Send an order confirmation through an entry that is killed meanwhile."""
    try:
        _confirm(deployment, entry, key)
    except httpx.HTTPError as error:
        print(
            f'first attempt to confirm the order failed: {type(error).__name__}'
        )


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


def _send_with_retries(
    send: collections.abc.Callable[[], httpx.Response],
) -> httpx.Response:
    """Send a request until it succeeds or has no Retry-After header."""
    response = send()
    for _ in range(_MAX_RETRIES):
        if response.is_success or 'retry-after' not in response.headers:
            break
        time.sleep(_RETRY_DELAY_SECONDS)
        response = send()
    return response


def _count_runs_by_engine(deployment: launcher.Launcher) -> list[int]:
    """Return the number of runs on each engine."""
    return [
        sum(
            _get_run_counts(deployment, f'engine-{index}')[
                'by_request'
            ].values()
        )
        for index in range(len(launcher.FAILURE_DOMAINS))
    ]


def _count_runs_by_service(
    deployment: launcher.Launcher, key: str
) -> list[int]:
    """Return the number of runs of an idempotency key on each service."""
    return [
        _get_run_counts(deployment, f'service-{index}')['by_key'].get(key, 0)
        for index in range(len(launcher.FAILURE_DOMAINS))
    ]


def _get_run_counts(
    deployment: launcher.Launcher, name: str
) -> dict[str, typing.Any]:
    """Return the run counts that an upstream keeps itself."""
    response = httpx.get(f'{deployment.url(name)}/stand-in/runs')
    counts: dict[str, typing.Any] = response.json()
    return counts


if __name__ == '__main__':
    sys.exit(main())
