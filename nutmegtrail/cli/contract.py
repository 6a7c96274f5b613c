"""Commands for the contracts of client accounts."""

import collections
import typing

import anyio
import typer

from nutmegtrail.adapters.key_value import etcd
from nutmegtrail.cli import options
from nutmegtrail.cli import output
from nutmegtrail.cli import stored
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import editing
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import models
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import models as contract_models

application = typer.Typer(help='Contracts of the client accounts.')
_Contracts: typing.TypeAlias = dict[str, contract_models.Contract]


class _Bucket(typing.NamedTuple):
    """A stored bucket and the contracts to add to it."""

    name: str
    revision: int
    current: models.ContractDocument
    contracts_by_account: _Contracts


@application.command('apply')
def apply_contracts(
    file: options.File,
    key_value: options.KeyValue,
    operator: options.Operator = 'unknown',
    dry_run: options.DryRun = False,
    as_json: options.AsJson = False,
) -> None:
    """Add or replace the contracts in a file.

    Example: nutmegtrail contract apply contracts.toml --dry-run
    """
    anyio.run(_apply, file, key_value, operator, dry_run, as_json)


@application.command('show')
def show_contract(
    client_account: str,
    key_value: options.KeyValue,
    as_json: options.AsJson = False,
) -> None:
    """Show the contract of a client account.

    Example: nutmegtrail contract show harbour-pilots
    """
    anyio.run(_show, client_account, key_value, as_json)


@application.command('history')
def show_history(
    client_account: str,
    key_value: options.KeyValue,
    as_json: options.AsJson = False,
) -> None:
    """Show the latest edits of the bucket of a client account, newest first.

    Example: nutmegtrail contract history harbour-pilots
    """
    anyio.run(_history, client_account, key_value, as_json)


async def _apply(
    file: typing.Any,
    address: str,
    operator: str,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Store each bucket that contains contracts of the file."""
    store = stored.open_store(address)
    try:
        loaded = settings.load(file, contract_models.ContractFile)
    except errors.SettingsError as error:
        output.fail(error)
    for bucket in await _buckets(store, loaded.client_account):
        changes = _describe_changes(bucket)
        if dry_run:
            output.show(changes, as_json=as_json, text='\n'.join(changes))
            continue
        change = editing.new_change(operator, '; '.join(changes)[:512])
        edit = editing.Edit(
            bucket.name,
            bucket.revision,
            editing.with_contracts(
                bucket.current,
                bucket.contracts_by_account,
                change,
            ),
            change,
        )
        await stored.commit(store, edit, changes, as_json=as_json)


async def _show(account: str, address: str, as_json: bool) -> None:
    """Print the contract of a client account."""
    store = stored.open_store(address)
    document = await stored.read(store, documents.bucket_name(account))
    contract = _bucket_of(document).contracts_by_account.get(account)
    if contract is None:
        output.fail(errors.ConfigurationError(f'{account} has no contract'))
    text = contract.model_dump_json(indent=2)
    output.show(contract.model_dump(), as_json=as_json, text=text)


async def _history(account: str, address: str, as_json: bool) -> None:
    """Print the history of the bucket of a client account."""
    store = stored.open_store(address)
    document = await stored.read(store, documents.bucket_name(account))
    stored.show_history(document, as_json=as_json)


async def _buckets(
    store: etcd.EtcdStore,
    contracts_by_account: _Contracts,
) -> list[_Bucket]:
    """Return the stored buckets of the given contracts."""
    accounts_by_name: dict[str, _Contracts] = collections.defaultdict(dict)
    for account, contract in contracts_by_account.items():
        accounts_by_name[documents.bucket_name(account)][account] = contract
    buckets = []
    for name, contracts in sorted(accounts_by_name.items()):
        document = await stored.read(store, name)
        revision = 0 if document is None else document.revision
        current = _bucket_of(document)
        buckets.append(_Bucket(name, revision, current, contracts))
    return buckets


def _bucket_of(document: models.Document | None) -> models.ContractDocument:
    """Parse a bucket of contracts, empty if the document does not exist."""
    if document is None:
        return models.ContractDocument()
    return documents.parse_stored(document.content, models.ContractDocument)


def _describe_changes(bucket: _Bucket) -> list[str]:
    """Return a line for each changed field of each account."""
    lines = []
    for account, contract in bucket.contracts_by_account.items():
        previous = bucket.current.contracts_by_account.get(account)
        if previous is None:
            lines.append(f'{account}: new contract')
            continue
        old = previous.model_dump()
        lines.extend(
            f'{account}: {field}: {old[field]} -> {new}'
            for field, new in contract.model_dump().items()
            if old[field] != new
        )
    return lines
