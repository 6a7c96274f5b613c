"""Commands for settings and the deployment configuration."""

import types
import typing

import anyio
import httpx
import pydantic
import typer

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.host_list import http as host_list_http
from nutmegtrail.cli import calls
from nutmegtrail.cli import const
from nutmegtrail.cli import options
from nutmegtrail.cli import output
from nutmegtrail.cli import stored
from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import editing
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import models
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.gateway import settings as gateway_settings

application = typer.Typer(help='Settings and the deployment configuration.')
_Schema: typing.TypeAlias = type[pydantic.BaseModel]
_SCHEMAS_BY_KIND: typing.Final = types.MappingProxyType[str, _Schema](
    {
        'entry': settings.EntrySettings,
        'gateway': gateway_settings.GatewaySettings,
        'sidecar': settings.SidecarSettings,
        'deployment': models.Deployment,
        'contracts': contract_models.ContractFile,
    },
)


@application.command('check')
def check(kind: str, file: options.File) -> None:
    """Check a file: KIND is entry, gateway, sidecar, deployment or contracts.

    The kind `gateway` is for an entry that calls upstreams without sidecars.

    Example: nutmegtrail config check entry entry.toml
    """
    schema = _SCHEMAS_BY_KIND.get(kind)
    if schema is None:
        allowed = ', '.join(_SCHEMAS_BY_KIND)
        output.fail(errors.SettingsError(f'KIND must be one of {allowed}'))
    try:
        settings.load(file, schema)
    except errors.SettingsError as error:
        output.fail(error)
    typer.echo(f'{file}: correct')


@application.command('apply')
def apply_deployment(
    file: options.File,
    key_value: options.KeyValue,
    operator: options.Operator = 'unknown',
    dry_run: options.DryRun = False,
    as_json: options.AsJson = False,
) -> None:
    """Apply a deployment file.

    Example: nutmegtrail config apply deployment.toml
    """
    anyio.run(_apply, file, key_value, operator, dry_run, as_json)


@application.command('history')
def show_history(
    key_value: options.KeyValue,
    as_json: options.AsJson = False,
) -> None:
    """Show the latest edits of the deployment, newest first.

    Example: nutmegtrail config history
    """
    anyio.run(_history, key_value, as_json)


@application.command('status')
def show_status(
    host_list: options.HostList,
    token: options.Token,
    as_json: options.AsJson = False,
) -> None:
    """Show the current revision of each entry and the entries behind it.

    Example: nutmegtrail config status; exit code 6 if any is behind
    """
    anyio.run(_status, host_list, token, as_json)


async def _apply(
    file: typing.Any,
    address: str,
    operator: str,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Store the deployment document."""
    store = stored.open_store(address)
    try:
        deployment = settings.load(file, models.Deployment)
    except errors.SettingsError as error:
        output.fail(error)
    document = await stored.read(store, configuration_const.DEPLOYMENT_NAME)
    current = _parse(document)
    changes = _describe_changes(current, deployment)
    if dry_run:
        output.show(changes, as_json=as_json, text='\n'.join(changes))
        return
    change = editing.new_change(operator, '; '.join(changes)[:512])
    edit = editing.Edit(
        configuration_const.DEPLOYMENT_NAME,
        0 if document is None else document.revision,
        editing.with_deployment(current, deployment, change),
        change,
    )
    await stored.commit(store, edit, changes, as_json=as_json)


async def _history(address: str, as_json: bool) -> None:
    """Print the history of the deployment."""
    store = stored.open_store(address)
    name = configuration_const.DEPLOYMENT_NAME
    stored.show_history(await stored.read(store, name), as_json=as_json)


async def _status(address: str, token: str, as_json: bool) -> None:
    """Print the configuration revision of every entry."""
    hosts = host_list_http.HttpHostList(shared_models.parse_address(address))
    listing = await hosts.hosts()
    if listing.is_error():
        output.fail(
            errors.ServiceUnavailable(
                'the host list is not available; check its address',
            )
        )
    rows = []
    for host in listing.ok:
        if host.role == 'entry':
            rows.append(
                await _fetch_status(host.host, host.http_address, token)
            )
    highest = max((row['revision'] for row in rows), default=0)
    behind = [row['host'] for row in rows if row['revision'] < highest]
    text = '\n'.join(
        f'{row["host"]}: revision {row["revision"]}' for row in rows
    )
    if behind:
        text = f'{text}\nbehind or silent: {", ".join(behind)}'
    output.show({'entries': rows, 'behind': behind}, as_json=as_json, text=text)
    if behind:
        raise typer.Exit(const.EXIT_BEHIND)


async def _fetch_status(
    host: str,
    address: shared_models.Address,
    token: str,
) -> dict[str, typing.Any]:
    """Return the status of an entry; revision -1 if it does not respond."""
    try:
        response = await calls.fetch(
            httpx.Request(
                'GET',
                f'http://{address}/operator/status',
                headers={'authorization': f'Bearer {token}'},
            )
        )
    except httpx.HTTPError:
        return {'host': host, 'revision': -1, 'digest': ''}
    status = response.json()
    return {
        'host': host,
        'revision': status.get('revision', -1),
        'digest': status.get('digest', ''),
    }


def _parse(
    document: models.Document | None,
) -> models.DeploymentDocument | None:
    """Parse the stored deployment document, None if it does not exist."""
    if document is None:
        return None
    return documents.parse_stored(document.content, models.DeploymentDocument)


def _describe_changes(
    current: models.DeploymentDocument | None,
    deployment: models.Deployment,
) -> list[str]:
    """Return a line for each changed field of the deployment."""
    if current is None:
        return ['deployment: new']
    previous = current.deployment.model_dump()
    return [
        f'{field}: {previous[field]} -> {new}'
        for field, new in deployment.model_dump().items()
        if previous[field] != new
    ]
