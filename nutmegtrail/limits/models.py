"""Leases of a contract's rates, on the entry's and on the owner's side."""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.limits import bucket


class Amount(typing.NamedTuple):
    """Requests and tokens."""

    requests: float = 0
    tokens: float = 0


class Allowance(typing.NamedTuple):
    """What an entry may admit for an account without asking.

    `demand` counts what callers asked for since the owner was asked last,
    `asked` is what it was asked for then; `short` is True where it gave
    less. `fallback` is used while the owner is silent.
    """

    left: Amount = Amount()
    valid_until_seconds: float = 0
    demand: Amount = Amount()
    requested_amount: Amount = Amount()
    is_partial_grant: bool = False
    share: Amount = Amount()
    asked_at_seconds: float = 0
    fallback: tuple[bucket.Bucket, bucket.Bucket] | None = None


CountsByEntry: typing.TypeAlias = pyrsistent.typing.PMap[str, tuple[int, float]]


class Ledger(typing.NamedTuple):
    """The owner's buckets of an account and the entries' open requests."""

    requests: bucket.Bucket
    tokens: bucket.Bucket
    in_flight_by_entry: CountsByEntry = pyrsistent.pmap()
