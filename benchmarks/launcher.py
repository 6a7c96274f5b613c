"""Launcher of a small deployment of local processes on loopback."""

import contextlib
import pathlib
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
import typing

import httpx

from benchmarks import plain_http
from benchmarks import ports
from nutmegtrail.contracts import credentials

OPERATOR_TOKEN: typing.Final = 'demo-operator-token'
CALLER_KEY: typing.Final = 'demo-caller-key'
_READY_TIMEOUT_SECONDS: typing.Final = 20.0
_EXIT_TIMEOUT_SECONDS: typing.Final = 10.0
_POLL_INTERVAL_SECONDS: typing.Final = 0.05
GROUP: typing.Final = 'group-0'
FAILURE_DOMAINS: typing.Final = ('kandla-a', 'mundra-b', 'gandhidham-c')


class Process(typing.NamedTuple):
    """Started process, its HTTP address and its row of the host list.

    The row is empty for a stand-in, which is not on the host list.
    """

    name: str
    popen: subprocess.Popen[bytes]
    http_address: str
    host_list_row: dict[str, typing.Any]


class Launcher:
    """Starts local processes and kills only these, by process ID."""

    def __init__(self, grace_seconds: float = 30) -> None:
        """Initialize the launcher with a temporary directory.

        `grace_seconds` is the grace period of the daemons' planned stops.
        """
        self.grace_seconds = grace_seconds
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='nutmegtrail-'))
        self.processes_by_name: dict[str, Process] = {}
        self.key_value = ''
        self.host_list = ''

    def start_platform(self, lag_seconds: float = 1) -> None:
        """Start the key-value store and the host list.

        The first host list applies at once, later ones after `lag_seconds`.
        """
        self.key_value = self.start_stand_in('key-value', 'key-value')
        self.host_list = self.start_stand_in(
            'host-list',
            'host-list',
            f'--lag-seconds={lag_seconds}',
        )

    def start_stand_in(self, name: str, kind: str, *options: str) -> str:
        """Start a stand-in process and return its address."""
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
        """Write the settings of an entry and start it."""
        http_address, peer_address = free_address(), free_address()
        settings = self._common_settings(
            name, failure_domain, http_address, peer_address
        )
        host_list_row = _build_host_list_row(
            name, failure_domain, 'entry', http_address, peer_address
        )
        self._spawn_daemon('entry', name, settings, http_address, host_list_row)

    def start_sidecar(
        self,
        name: str,
        failure_domain: str,
        kind: str,
        target: str,
        upstream_address: str,
        group_settings: tuple[str, ...] = (),
    ) -> None:
        """Write the settings of an upstream's sidecar and start it.

        `target` is the model or service of the upstream. `group_settings` are
        further lines of the upstream's settings if it is in a rank group.
        """
        http_address, peer_address = free_address(), free_address()
        settings = self._common_settings(
            name, failure_domain, http_address, peer_address
        )
        upstream_name = f'{name}-upstream'
        settings += (
            f'[upstream]\nname = "{upstream_name}"\nkind = "{kind}"\n'
            f'target = "{target}"\naddress = "{upstream_address}"\n'
        )
        settings += ''.join(f'{line}\n' for line in group_settings)
        host_list_row = _build_host_list_row(
            name, failure_domain, 'sidecar', http_address, peer_address
        )
        host_list_row |= {'upstream': upstream_name, 'target': target}
        if group_settings:
            host_list_row['group'] = GROUP
        self._spawn_daemon(
            'sidecar', name, settings, http_address, host_list_row
        )

    def restart(self, name: str) -> None:
        """Wait for a daemon to exit and start it with the same settings."""
        process = self.processes_by_name[name]
        process.popen.wait(_EXIT_TIMEOUT_SECONDS)
        role = process.host_list_row['role']
        path = self.directory / f'{name}.toml'
        arguments = ('-m', 'nutmegtrail.cli', role, str(path))
        self._spawn(
            name, arguments, process.http_address, process.host_list_row
        )

    def publish_hosts(self) -> None:
        """Replace the host list by the rows of all started daemons."""
        hosts = [
            process.host_list_row
            for process in self.processes_by_name.values()
            if process.host_list_row
        ]
        plain_http.post(
            f'http://{self.host_list}/stand-in/hosts',
            json={'hosts': hosts},
        ).raise_for_status()

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operator command line and return its result."""
        return subprocess.run(  # noqa: S603
            (sys.executable, '-m', 'nutmegtrail.cli', *arguments),
            check=False,
            capture_output=True,
            text=True,
        )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a started process."""
        self.processes_by_name[name].popen.send_signal(signal_number)

    def url(self, name: str) -> str:
        """Return the base URL of a process's HTTP port."""
        return f'http://{self.processes_by_name[name].http_address}'

    def wait_until_ready(self, *names: str) -> None:
        """Wait until daemons are ready; raise TimeoutError if they are not."""
        for name in names:
            wait_for_endpoint(self.url(name), '/health/ready')

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.directory / f'{name}.log').read_text()

    def close(self) -> None:
        """Kill all started processes, also suspended ones, and reap them."""
        for process in self.processes_by_name.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for killed_process in self.processes_by_name.values():
            killed_process.popen.wait(_EXIT_TIMEOUT_SECONDS)

    def _common_settings(
        self,
        name: str,
        failure_domain: str,
        http_address: str,
        peer_address: str,
    ) -> str:
        """Return the settings that entries and sidecars share, as TOML."""
        digest = credentials.digest_of(OPERATOR_TOKEN)
        return (
            f'[process]\nhost = "{name}"\n'
            f'failure_domain = "{failure_domain}"\n'
            f'peer_listen = "{peer_address}"\nhttp_listen = "{http_address}"\n'
            f'operator_token_digest = "{digest}"\n'
            f'[platform]\nkey_value = "{self.key_value}"\n'
            f'host_list = "{self.host_list}"\n'
            f'[stop]\ngrace_seconds = {self.grace_seconds}\n'
        )

    def _spawn_daemon(
        self,
        role: str,
        name: str,
        settings: str,
        http_address: str,
        host_list_row: dict[str, typing.Any],
    ) -> None:
        """Write the settings file of a daemon and start it."""
        path = self.directory / f'{name}.toml'
        path.write_text(settings)
        arguments = ('-m', 'nutmegtrail.cli', role, str(path))
        self._spawn(name, arguments, http_address, host_list_row)

    def _spawn(
        self,
        name: str,
        arguments: tuple[str, ...],
        http_address: str,
        host_list_row: dict[str, typing.Any],
    ) -> None:
        """Start a process and append its output to its log file."""
        with (self.directory / f'{name}.log').open('ab') as output:
            popen = subprocess.Popen(  # noqa: S603
                (sys.executable, *arguments),
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes_by_name[name] = Process(
            name, popen, http_address, host_list_row
        )


def free_address() -> str:
    """Return a loopback address with an unused port."""
    return f'{ports.IP}:{ports.free_port()}'


def wait_for_endpoint(url: str, path: str) -> None:
    """Wait for an answer with a success status.

    Raise TimeoutError if there is none.
    """
    deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            if plain_http.get(f'{url}{path}').is_success:
                return
        time.sleep(_POLL_INTERVAL_SECONDS)
    raise TimeoutError(
        f'{url}{path} did not answer with a success status in time'
    )


def _build_host_list_row(
    name: str,
    failure_domain: str,
    role: str,
    http_address: str,
    peer_address: str,
) -> dict[str, typing.Any]:
    """Return the row of a daemon on the host list."""
    return {
        'host': name,
        'failure_domain': failure_domain,
        'role': role,
        'address': peer_address,
        'http_address': http_address,
    }
