"""Identifiers of calls with an idempotency key and of their shards."""

import hashlib
import typing

import xxhash

from nutmegtrail.idempotency import const
from nutmegtrail.wire import models as wire_models

_DIGEST_BYTES: typing.Final = 16


def record_id(client_account: str, target: str, key: str) -> str:
    """Return the identifier of an account's idempotency key at a service."""
    scope = f'{client_account}\0{target}\0{key}'
    return _digest(scope.encode())


def body_digest(call: wire_models.Call) -> str:
    """Return the digest of everything that is sent to the upstream."""
    head = f'{call.method}\0{call.path}\0{call.content_type}\0'
    return _digest(head.encode() + call.body)


def shard_of(identifier: str) -> int:
    """Return the number of the shard that stores a record."""
    number: int = xxhash.xxh64_intdigest(identifier.encode())
    return number % const.SHARDS_PER_SERVICE


def shard_key(target: str, shard: int) -> str:
    """Return the key under which a shard's log is stored."""
    return f'{const.SHARD_PREFIX}{target}/{shard:03d}'


def owner_key(upstream: str) -> str:
    """Return the key that is attached to a sidecar's lease.

    The key-value service deletes it when the lease expires.
    """
    return f'{const.OWNER_PREFIX}{upstream}'


def _digest(raw: bytes) -> str:
    """Return a collision-resistant digest as hexadecimal text."""
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()
