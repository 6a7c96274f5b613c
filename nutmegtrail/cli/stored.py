"""Shared steps of the commands on stored documents."""

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.key_value import etcd
from nutmegtrail.cli import output
from nutmegtrail.configuration import editing
from nutmegtrail.configuration import models


def open_store(address: str) -> etcd.EtcdStore:
    """Return a client for the key-value service at an address."""
    return etcd.EtcdStore(shared_models.parse_address(address))


async def read(store: etcd.EtcdStore, name: str) -> models.Document | None:
    """Return a stored document, None if absent; exit if it cannot be read."""
    found = await editing.read(store, name)
    if found.is_error():
        output.fail(found.error)
    return found.ok


async def commit(
    store: etcd.EtcdStore,
    edit: editing.Edit,
    changes: list[str],
    *,
    as_json: bool,
) -> None:
    """Store an edit and print its revision; exit if it is not accepted."""
    committed = await editing.commit(store, edit)
    if committed.is_error():
        output.fail(committed.error)
    text = '\n'.join((*changes, f'accepted at revision {committed.ok}'))
    accepted = {'revision': committed.ok, 'changes': changes}
    output.show(accepted, as_json=as_json, text=text)


def show_history(document: models.Document | None, *, as_json: bool) -> None:
    """Print the latest edits of a document, newest first."""
    history = editing.history_of(document)
    text = '\n'.join(
        f'{change.time} {change.operator}: {change.subject}'
        for change in history
    )
    rows = [change.model_dump() for change in history]
    output.show(rows, as_json=as_json, text=text)
