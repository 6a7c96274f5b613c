"""Starts a small deployment as plain processes on loopback."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
import typing

import httpx

from nutmegtrail.contracts import credentials

OPERATOR_TOKEN: typing.Final = 'demo-operator-token'
CALLER_KEY: typing.Final = 'demo-caller-key'
_IP: typing.Final = '127.0.0.1'
_FIRST_PORT: typing.Final = 18_000
_LAST_PORT: typing.Final = 32_000
_PORTS: typing.Final = iter(
    range(_FIRST_PORT + os.getpid() % 100 * 100, _LAST_PORT),
)
_READY_SECONDS: typing.Final = 20.0
_STOP_SECONDS: typing.Final = 10.0
_POLL_SECONDS: typing.Final = 0.05
GROUP: typing.Final = 'group-0'
FAILURE_DOMAINS: typing.Final = ('kandla-a', 'mundra-b', 'gandhidham-c')


class Process(typing.NamedTuple):
    """A started process and where it listens."""

    name: str
    popen: subprocess.Popen[bytes]
    http_address: str
    host_list_row: dict[str, typing.Any]


class Launcher:
    """Holds the processes that it started and ends only these, by id."""

    def __init__(self) -> None:
        """Start nothing yet."""
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='nutmegtrail-'))
        self.processes_by_name: dict[str, Process] = {}
        self.key_value = ''
        self.host_list = ''

    def start_platform(self, lag_seconds: float = 1) -> None:
        """Start the key-value service and the host list."""
        self.key_value = self.start_stand_in('key-value', 'key-value')
        self.host_list = self.start_stand_in(
            'host-list',
            'host-list',
            f'--lag-seconds={lag_seconds}',
        )

    def start_stand_in(self, name: str, kind: str, *options: str) -> str:
        """Start a stand-in; return its address."""
        address = free_address()
        arguments = (
            '-m',
            'nutmegtrail.stand_ins',
            kind,
            f'--listen={address}',
        )
        self._spawn(name, (*arguments, *options), address, {})
        return address

    def start_entry(self, name: str, failure_domain: str) -> None:
        """Start an entry."""
        http, peer = free_address(), free_address()
        text = self._process_settings(name, failure_domain, http, peer)
        listed = _listed(name, failure_domain, 'entry', http, peer)
        self._spawn_daemon('entry', name, text, http, listed)

    def start_sidecar(
        self,
        name: str,
        failure_domain: str,
        kind: str,
        target: str,
        upstream: str,
        group: tuple[str, ...] = (),
    ) -> None:
        """Start the sidecar of an upstream; `group` holds more settings."""
        http, peer = free_address(), free_address()
        text = self._process_settings(name, failure_domain, http, peer)
        upstream_name = f'{name}-upstream'
        text += (
            f'[upstream]\nname = "{upstream_name}"\nkind = "{kind}"\n'
            f'target = "{target}"\naddress = "{upstream}"\n'
        )
        text += ''.join(f'{line}\n' for line in group)
        listed = _listed(name, failure_domain, 'sidecar', http, peer)
        listed |= {'upstream': upstream_name, 'target': target}
        if group:
            listed['group'] = GROUP
        self._spawn_daemon('sidecar', name, text, http, listed)

    def restart(self, name: str) -> None:
        """Start a daemon that has ended again, with its settings."""
        process = self.processes_by_name[name]
        process.popen.wait(_STOP_SECONDS)
        role = process.host_list_row['role']
        path = self.directory / f'{name}.toml'
        arguments = ('-m', 'nutmegtrail.cli', role, str(path))
        self._spawn(
            name, arguments, process.http_address, process.host_list_row
        )

    def publish_hosts(self) -> None:
        """Put all started daemons on the host list."""
        hosts = [
            process.host_list_row
            for process in self.processes_by_name.values()
            if process.host_list_row
        ]
        httpx.post(
            f'http://{self.host_list}/stand-in/hosts',
            json={'hosts': hosts},
        ).raise_for_status()

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        return subprocess.run(  # noqa: S603
            (sys.executable, '-m', 'nutmegtrail.cli', *arguments),
            check=False,
            capture_output=True,
            text=True,
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a started process."""
        self.processes_by_name[name].popen.send_signal(number)

    def url(self, name: str) -> str:
        """Return the base address of a process's HTTP port."""
        return f'http://{self.processes_by_name[name].http_address}'

    def wait_until_ready(self, *names: str) -> None:
        """Wait until daemons are ready; raise TimeoutError if not."""
        for name in names:
            wait_for_endpoint(self.url(name), '/health/ready')

    def read_log(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.directory / f'{name}.log').read_text()

    def close(self) -> None:
        """End every process that was started, by its id."""
        for process in self.processes_by_name.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for ended in self.processes_by_name.values():
            ended.popen.wait(_STOP_SECONDS)

    def _process_settings(
        self,
        name: str,
        failure_domain: str,
        http: str,
        peer: str,
    ) -> str:
        """Return the common part of a daemon's settings."""
        digest = credentials.digest_of(OPERATOR_TOKEN)
        return (
            f'[process]\nhost = "{name}"\n'
            f'failure_domain = "{failure_domain}"\n'
            f'peer_listen = "{peer}"\nhttp_listen = "{http}"\n'
            f'operator_token_digest = "{digest}"\n'
            f'[platform]\nkey_value = "{self.key_value}"\n'
            f'host_list = "{self.host_list}"\n'
        )

    def _spawn_daemon(
        self,
        role: str,
        name: str,
        text: str,
        http: str,
        listed: dict[str, typing.Any],
    ) -> None:
        """Write a daemon's settings and start it."""
        path = self.directory / f'{name}.toml'
        path.write_text(text)
        arguments = ('-m', 'nutmegtrail.cli', role, str(path))
        self._spawn(name, arguments, http, listed)

    def _spawn(
        self,
        name: str,
        arguments: tuple[str, ...],
        http: str,
        listed: dict[str, typing.Any],
    ) -> None:
        """Start a process with its output in a file."""
        with (self.directory / f'{name}.log').open('ab') as output:
            popen = subprocess.Popen(  # noqa: S603
                (sys.executable, *arguments),
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes_by_name[name] = Process(name, popen, http, listed)


def free_address() -> str:
    """Return a loopback address that nobody listens on.

    The ports lie below those that the kernel gives to connections.
    """
    for port in _PORTS:
        with contextlib.closing(socket.socket()) as probe:
            with contextlib.suppress(OSError):
                probe.bind((_IP, port))
                return f'{_IP}:{port}'
    raise OSError('no free port is left')


def wait_for_endpoint(url: str, path: str) -> None:
    """Wait until a path answers well; raise TimeoutError if it does not."""
    until = time.monotonic() + _READY_SECONDS
    while time.monotonic() < until:
        with contextlib.suppress(httpx.HTTPError):
            if httpx.get(f'{url}{path}').is_success:
                return
        time.sleep(_POLL_SECONDS)
    raise TimeoutError(f'{url}{path} did not answer well in time')


def _listed(
    name: str,
    failure_domain: str,
    role: str,
    http: str,
    peer: str,
) -> dict[str, typing.Any]:
    """Return the host list's row of a daemon."""
    return {
        'host': name,
        'failure_domain': failure_domain,
        'role': role,
        'address': peer,
        'http_address': http,
    }
