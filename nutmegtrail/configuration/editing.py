"""Edits by operators, stored by compare-and-swap."""

import collections.abc
import datetime
import typing
import uuid

import expression
import pydantic

from nutmegtrail.configuration import const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import models
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.ports import key_value

_READ_BACK_ATTEMPTS: typing.Final = 5
StoredDocument: typing.TypeAlias = (
    models.DeploymentDocument | models.ContractDocument
)
CommitResult: typing.TypeAlias = expression.Result[
    int, errors.ConfigurationError
]


class Edit(typing.NamedTuple):
    """A new version of a document that replaces a given revision."""

    name: str
    base_revision: int
    document: StoredDocument
    change: models.Change


def new_change(operator: str, subject: str) -> models.Change:
    """Return the history record of an edit made now."""
    return models.Change(
        edit_id=uuid.uuid4().hex,
        operator=operator,
        time=datetime.datetime.now(datetime.UTC).isoformat(),
        subject=subject,
    )


def with_contracts(
    bucket: models.ContractDocument,
    contracts_by_account: collections.abc.Mapping[
        str, contract_models.Contract
    ],
    change: models.Change,
) -> models.ContractDocument:
    """Return a bucket with contracts added or replaced."""
    return models.ContractDocument(
        contracts_by_account={
            **bucket.contracts_by_account,
            **contracts_by_account,
        },
        history=_with_change(bucket.history, change),
    )


def with_deployment(
    stored: models.DeploymentDocument | None,
    deployment: models.Deployment,
    change: models.Change,
) -> models.DeploymentDocument:
    """Return the deployment document with new content."""
    history = () if stored is None else stored.history
    return models.DeploymentDocument(
        deployment=deployment,
        history=_with_change(history, change),
    )


async def commit(store: key_value.KeyValueStore, edit: Edit) -> CommitResult:
    """Store an edit and return the revision at which it was accepted."""
    key = documents.key_of(edit.name)
    content = edit.document.model_dump_json().encode()
    swapped = await store.swap(key, edit.base_revision, content)
    if swapped.is_ok():
        return expression.Ok(swapped.ok)
    error = swapped.error
    if isinstance(error, key_value.CompareFailed):
        return expression.Error(
            errors.EditConflict(
                f'{edit.name} was changed by another operator since revision '
                f'{edit.base_revision}; review the change and apply your edit '
                'again',
            ),
        )
    if isinstance(error, key_value.Unavailable):
        return expression.Error(
            errors.ServiceUnavailable(
                'the key-value service is not available; nothing was changed, '
                'try again later',
            ),
        )
    return await _read_back(store, edit)


async def read(
    store: key_value.KeyValueStore,
    name: str,
) -> expression.Result[models.Document | None, errors.ConfigurationError]:
    """Return a stored document, None if it does not exist."""
    found = await store.get(documents.key_of(name))
    if found.is_error():
        return expression.Error(
            errors.ServiceUnavailable(
                'the key-value service is not available; check its address',
            ),
        )
    entry = found.ok
    if entry is None:
        return expression.Ok(None)
    return expression.Ok(models.Document(name, entry.revision, entry.content))


def history_of(document: models.Document | None) -> tuple[models.Change, ...]:
    """Return the latest edits of a document, newest first."""
    if document is None:
        return ()
    return documents.parse_stored(document.content, _History).history


class _History(pydantic.BaseModel):
    """The history that every stored document contains."""

    history: tuple[models.Change, ...] = ()


async def _read_back(
    store: key_value.KeyValueStore, edit: Edit
) -> CommitResult:
    """Find out whether an edit was stored after its response was lost.

    A stored edit can be recognized even below later edits, because it stays
    in the history of the document.
    """
    for _ in range(_READ_BACK_ATTEMPTS):
        found = await read(store, edit.name)
        if found.is_error():
            continue
        document = found.ok
        revision = 0 if document is None else document.revision
        stored_edit_ids = {change.edit_id for change in history_of(document)}
        if edit.change.edit_id in stored_edit_ids:
            return expression.Ok(revision)
        if revision == edit.base_revision:
            return expression.Error(
                errors.EditOutcomeUnknown(
                    'the response was lost and the edit is not stored yet; '
                    'check the history before you apply it again',
                ),
            )
        return expression.Error(
            errors.EditConflict(
                f'{edit.name} was changed by another operator; '
                'review the change and apply your edit again',
            ),
        )
    return expression.Error(
        errors.EditOutcomeUnknown(
            'the response was lost and the key-value service cannot be read; '
            'check the history before you apply the edit again',
        ),
    )


def _with_change(
    history: tuple[models.Change, ...],
    change: models.Change,
) -> tuple[models.Change, ...]:
    """Return a history with a new edit first, cut to the history limit."""
    return (change, *history)[: const.HISTORY_LIMIT]
