"""State of leased rate limits at an entry and at the account's owner."""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.limits import bucket


class Amount(typing.NamedTuple):
    """A number of requests and tokens."""

    requests: float = 0
    tokens: float = 0


class Allowance(typing.NamedTuple):
    """An entry's lease for a client account.

    `remaining` can be admitted without asking the owner. `demand` is what
    callers asked for since the last lease request, `requested_amount` is
    the amount of that request, and `is_partial_grant` is True if the owner
    granted less. `granted_rate` is per second. `fallback_buckets` are used
    while the owner does not respond.
    """

    remaining: Amount = Amount()
    valid_until_seconds: float = 0
    demand: Amount = Amount()
    requested_amount: Amount = Amount()
    is_partial_grant: bool = False
    granted_rate: Amount = Amount()
    granted_at_seconds: float = 0
    fallback_buckets: tuple[bucket.Bucket, bucket.Bucket] | None = None


CountsByEntry: typing.TypeAlias = pyrsistent.typing.PMap[str, tuple[int, float]]


class Ledger(typing.NamedTuple):
    """The owner's buckets of an account and the requests in flight by entry.

    Each count of `in_flight_by_entry` has the time of its report.
    """

    requests: bucket.Bucket
    tokens: bucket.Bucket
    in_flight_by_entry: CountsByEntry = pyrsistent.pmap()
