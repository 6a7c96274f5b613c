"""Commands of `nutmegtrail`."""

import pathlib
import secrets
import typing

import httpx
import typer

from nutmegtrail import models
from nutmegtrail.bootstrap import daemons
from nutmegtrail.cli import calls
from nutmegtrail.cli import config
from nutmegtrail.cli import const
from nutmegtrail.cli import contract
from nutmegtrail.cli import options
from nutmegtrail.cli import output
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import credentials
from nutmegtrail.observability import explain
from nutmegtrail.preview import const as preview_const
from nutmegtrail.preview import requests

application = typer.Typer(
    help='Load balancer for expert-parallel model groups.',
    epilog=(
        'Exit codes: 0 success, 2 invalid settings or usage, '
        '3 conflicting edit, 4 service not available, 5 outcome unknown, '
        '6 an entry is behind.'
    ),
    no_args_is_help=True,
)
application.add_typer(contract.application, name='contract')
application.add_typer(config.application, name='config')
_KEY_BYTES = 32


@application.command('entry')
def run_entry(file: options.File) -> None:
    """Run an entry until it is stopped.

    Example: nutmegtrail entry entry.toml
    """
    try:
        process_settings = settings.load(file, settings.EntrySettings)
    except errors.SettingsError as error:
        output.fail(error)
    daemons.run(
        daemons.create_entry(process_settings),
        process_settings.process.log_format,
    )


@application.command('sidecar')
def run_sidecar(file: options.File) -> None:
    """Run the sidecar of an upstream until it is stopped.

    Example: nutmegtrail sidecar sidecar.toml
    """
    try:
        process_settings = settings.load(file, settings.SidecarSettings)
    except errors.SettingsError as error:
        output.fail(error)
    daemons.run(
        daemons.create_sidecar(process_settings),
        process_settings.process.log_format,
    )


@application.command('stop')
def stop(address: str, token: options.Token) -> None:
    """Start a graceful shutdown of the process at an HTTP address.

    Example: nutmegtrail stop 127.0.0.1:8001
    """
    _call_operator_endpoint('POST', address, '/operator/stop', token)
    typer.echo(f'{address}: stopping; open requests are completed first')


@application.command('status')
def status(
    address: str,
    token: options.Token,
    as_json: options.AsJson = False,
) -> None:
    """Show the status of the process at an HTTP address.

    Example: nutmegtrail status 127.0.0.1:8001 --json
    """
    reply = _call_operator_endpoint('GET', address, '/operator/status', token)
    text = '\n'.join(f'{name}: {shown}' for name, shown in reply.items())
    output.show(reply, as_json=as_json, text=text)


@application.command('new-key')
def new_key() -> None:
    """Print a new key and its digest for `key_digests` of a contract.

    Example: nutmegtrail new-key
    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    typer.echo(f'key:    {key}\ndigest: {credentials.digest_of(key)}')


@application.command('explain')
def explain_request(request_id: str, files: list[pathlib.Path]) -> None:
    """Show the log lines of a request and why it ended.

    Example: nutmegtrail explain 9c41d07be2a35f68 entry-*.log
    """
    fingerprint = ''
    for path in files:
        with _open_log(path) as lines:
            fingerprint = fingerprint or explain.find_fingerprint(
                lines, request_id
            )
    explained = []
    for path in files:
        with _open_log(path) as lines:
            explained.append(
                explain.explain(str(path), lines, request_id, fingerprint)
            )
    timelines = [timeline for timeline in explained if timeline is not None]
    if not timelines:
        typer.echo(f'error: no file has a line about {request_id}', err=True)
        raise typer.Exit(const.EXIT_UNAVAILABLE)
    for timeline in timelines:
        typer.echo(explain.describe(timeline))


@application.command('preview')
def preview_request(
    address: str,
    host: str,
    path: str,
    account: typing.Annotated[
        str, typer.Option(help='Name of the client account.')
    ] = '',
    as_json: options.AsJson = False,
) -> None:
    """Show where an entry would send a request now, and why.

    The address is that of the metrics of an entry. Nothing is sent to upstreams.

    Example: nutmegtrail preview 10.1.0.40:9464 example.org /drafts/ --account a
    """
    try:
        models.parse_address(address)
        response = calls.call(
            'GET',
            f'http://{address}{preview_const.PATH}',
            query={'host': host, 'path': path, 'account': account},
        )
        response.raise_for_status()
    except (httpx.HTTPError, ValueError) as error:
        typer.echo(f'error: {address}: {error}', err=True)
        raise typer.Exit(const.EXIT_UNAVAILABLE) from error
    preview = response.json()
    output.show(preview, as_json=as_json, text=requests.describe(preview))


def _open_log(path: pathlib.Path) -> typing.TextIO:
    """Open a log file; exit if it cannot be read."""
    try:
        return path.open(encoding='utf-8', errors='replace')
    except OSError as error:
        typer.echo(f'error: {path} cannot be read: {error}', err=True)
        raise typer.Exit(const.EXIT_SETTINGS) from error


def _call_operator_endpoint(
    method: str,
    address: str,
    path: str,
    token: str,
) -> dict[str, object]:
    """Return the reply of a process; exit if it cannot be reached."""
    try:
        models.parse_address(address)
        response = calls.call(
            method,
            f'http://{address}{path}',
            headers={'authorization': f'Bearer {token}'},
        )
        response.raise_for_status()
    except (httpx.HTTPError, ValueError) as error:
        typer.echo(f'error: {address}: {error}', err=True)
        raise typer.Exit(const.EXIT_UNAVAILABLE) from error
    reply: dict[str, object] = response.json()
    return reply


def run() -> None:
    """Run the command line."""
    application()
