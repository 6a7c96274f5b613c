"""Local deployment of 3 entries, 3 engines and 3 services."""

import typing

from benchmarks import launcher
from nutmegtrail.contracts import credentials

MODEL: typing.Final = 'clerk-draft'
SERVICE: typing.Final = 'order-desk'
ACCOUNT: typing.Final = 'ship-agents'
AUTHORIZATION: typing.Final = f'Bearer {launcher.CALLER_KEY}'
ENTRIES: typing.Final = ('entry-a', 'entry-b', 'entry-c')

_DEPLOYMENT_TOML: typing.Final = f"""
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

_CONTRACTS_TOML: typing.Final = f"""
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
    """Start and configure the platform, the upstreams and the daemons.

    `token_seconds` is the time an engine takes for a token, `call_seconds` the
    time a service takes for a call.
    """
    deployment.start_platform()
    failure_domains = launcher.FAILURE_DOMAINS
    for index, failure_domain in enumerate(failure_domains):
        engine_address = deployment.start_stand_in(
            f'engine-{index}',
            'model-engine',
            f'--token-seconds={token_seconds}',
        )
        deployment.start_sidecar(
            f'engine-sidecar-{index}',
            failure_domain,
            'model-engine',
            MODEL,
            engine_address,
        )
        service_address = deployment.start_stand_in(
            f'service-{index}',
            'plain-service',
            f'--call-seconds={call_seconds}',
        )
        deployment.start_sidecar(
            f'service-sidecar-{index}',
            failure_domain,
            'plain-service',
            SERVICE,
            service_address,
        )
    for name, failure_domain in zip(ENTRIES, failure_domains, strict=True):
        deployment.start_entry(name, failure_domain)
    launcher.wait_for_endpoint(
        f'http://{deployment.key_value}', '/stand-in/counts'
    )
    launcher.wait_for_endpoint(f'http://{deployment.host_list}', '/hosts')
    deployment.publish_hosts()
    _apply_configuration(deployment)
    deployment.wait_until_ready(
        *filter(_is_daemon, deployment.processes_by_name)
    )


def _is_daemon(name: str) -> bool:
    """Return whether a process is an entry or a sidecar."""
    return 'sidecar' in name or name in ENTRIES


def _apply_configuration(deployment: launcher.Launcher) -> None:
    """Apply the deployment and the contracts with the operator command line."""
    for command_group, name, content in (
        ('config', 'deployment', _DEPLOYMENT_TOML),
        ('contract', 'contracts', _CONTRACTS_TOML),
    ):
        path = deployment.directory / f'{name}.toml'
        path.write_text(content)
        result = deployment.run_command(
            command_group,
            'apply',
            str(path),
            f'--key-value={deployment.key_value}',
            '--operator=demo',
        )
        if result.returncode:
            raise RuntimeError(result.stderr)
