"""Identifiers of keyed calls and of the shards that hold them."""

import hashlib
import typing

import xxhash

from nutmegtrail.idempotency import const
from nutmegtrail.wire import models as wire_models

_DIGEST_BYTES: typing.Final = 16


def record_id(client_account: str, target: str, key: str) -> str:
    """Return the identifier of an account's key at a service."""
    scope = f'{client_account}\0{target}\0{key}'
    return _digest(scope.encode())


def body_digest(call: wire_models.Call) -> str:
    """Return the digest over all that the upstream would be given."""
    head = f'{call.method}\0{call.path}\0{call.content_type}\0'
    return _digest(head.encode() + call.body)


def shard_of(identifier: str) -> int:
    """Return the number of the shard that holds a record."""
    number: int = xxhash.xxh64_intdigest(identifier.encode())
    return number % const.SHARDS_PER_SERVICE


def shard_key(target: str, shard: int) -> str:
    """Return the key under which a shard's log is stored."""
    return f'{const.SHARD_PREFIX}{target}/{shard:03d}'


def owner_key(upstream: str) -> str:
    """Return the key that lives as long as a sidecar's lease."""
    return f'{const.OWNER_PREFIX}{upstream}'


def _digest(raw: bytes) -> str:
    """Return a short collision-resistant digest as text."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()
