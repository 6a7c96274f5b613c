"""The deployment of the demonstration: 3 entries, 3 engines, 3 services."""

import typing

from benchmarks import launcher
from nutmegtrail.contracts import credentials

MODEL: typing.Final = 'clerk-draft'
SERVICE: typing.Final = 'order-desk'
ACCOUNT: typing.Final = 'ship-agents'
AUTHORIZATION: typing.Final = f'Bearer {launcher.CALLER_KEY}'
ENTRIES: typing.Final = ('entry-a', 'entry-b', 'entry-c')

_DEPLOYMENT: typing.Final = f"""
[models.{MODEL}]
concurrency_per_engine = 64
experts_per_layer = 256

[services.{SERVICE}]
idempotent_methods = ["GET"]

[rebalancing]
skew_weight = 4.0
move_weight = 1.0
horizon_seconds = 600.0
"""

_CONTRACTS: typing.Final = f"""
[client_account.{ACCOUNT}]
key_digests = ["{credentials.digest_of(launcher.CALLER_KEY)}"]
requests_per_second = 5000.0
tokens_per_second = 5000000.0
concurrency = 2000
models = ["{MODEL}"]
services = ["{SERVICE}"]
"""


def start(
    deployment: launcher.Launcher,
    token_seconds: float = 0.02,
    call_seconds: float = 0,
) -> None:
    """Start the platform, the upstreams and the daemons."""
    deployment.start_platform()
    domains = launcher.FAILURE_DOMAINS
    for place, domain in enumerate(domains):
        engine = deployment.start_stand_in(
            f'engine-{place}',
            'model-engine',
            f'--token-seconds={token_seconds}',
        )
        deployment.start_sidecar(
            f'engine-sidecar-{place}',
            domain,
            'model-engine',
            MODEL,
            engine,
        )
        service = deployment.start_stand_in(
            f'service-{place}',
            'plain-service',
            f'--call-seconds={call_seconds}',
        )
        deployment.start_sidecar(
            f'service-sidecar-{place}',
            domain,
            'plain-service',
            SERVICE,
            service,
        )
    for name, domain in zip(ENTRIES, domains, strict=True):
        deployment.start_entry(name, domain)
    launcher.wait_for_endpoint(
        f'http://{deployment.key_value}', '/stand-in/counts'
    )
    launcher.wait_for_endpoint(f'http://{deployment.host_list}', '/hosts')
    deployment.publish_hosts()
    _configure(deployment)
    deployment.wait_until_ready(
        *filter(_is_daemon, deployment.processes_by_name)
    )


def _is_daemon(name: str) -> bool:
    """Return whether a process is an entry or a sidecar."""
    return 'sidecar' in name or name in ENTRIES


def _configure(deployment: launcher.Launcher) -> None:
    """Apply the deployment and the contracts by the command line."""
    for group, name, text in (
        ('config', 'deployment', _DEPLOYMENT),
        ('contract', 'contracts', _CONTRACTS),
    ):
        path = deployment.directory / f'{name}.toml'
        path.write_text(text)
        done = deployment.run_command(
            group,
            'apply',
            str(path),
            f'--key-value={deployment.key_value}',
            '--operator=demo',
        )
        if done.returncode:
            raise RuntimeError(done.stderr)
