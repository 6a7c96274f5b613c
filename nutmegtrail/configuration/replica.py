"""A node's copy of the configuration; revisions only rise."""

import typing

import pyrsistent
import pyrsistent.typing
import xxhash

from nutmegtrail.configuration import models

DocumentsByName: typing.TypeAlias = pyrsistent.typing.PMap[str, models.Document]


class Replica(typing.NamedTuple):
    """Documents by name, each at the highest revision that was seen."""

    documents_by_name: DocumentsByName = pyrsistent.pmap()


class Difference(typing.NamedTuple):
    """What two nodes have to exchange after comparing revisions."""

    newer_local: tuple[models.Document, ...]
    newer_remote: tuple[str, ...]


def apply(replica: Replica, document: models.Document) -> Replica:
    """Return the replica with the document if its revision is higher."""
    if revision_of(replica, document.name) >= document.revision:
        return replica
    return Replica(replica.documents_by_name.set(document.name, document))


def revision_of(replica: Replica, name: str) -> int:
    """Return the revision in force of a document, 0 if none."""
    present = replica.documents_by_name.get(name)
    return 0 if present is None else present.revision


def highest_revision(replica: Replica) -> int:
    """Return the highest revision in force."""
    return max(
        (document.revision for document in replica.documents_by_name.values()),
        default=0,
    )


def digest(replica: Replica) -> bytes:
    """Return a hash over all names and revisions."""
    hasher = xxhash.xxh3_128()
    for name in sorted(replica.documents_by_name):
        revision = replica.documents_by_name[name].revision
        hasher.update(f'{name}@{revision};'.encode())
    return hasher.digest()


def compare(
    replica: Replica,
    revisions_by_name: dict[str, int],
) -> Difference:
    """Return what is newer here and what is newer at the other node."""
    newer_local = tuple(
        document
        for name, document in replica.documents_by_name.items()
        if document.revision > revisions_by_name.get(name, 0)
    )
    newer_remote = tuple(
        name
        for name, revision in revisions_by_name.items()
        if revision > revision_of(replica, name)
    )
    return Difference(newer_local, newer_remote)
