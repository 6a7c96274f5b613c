"""Leases of a contract's rate limits, granted by an owner to the entries.

One entry owns the quota of a client account and leases parts of it to the
others. In any window of T seconds, the requests admitted are at most the
sum of:

- the burst, plus the rate times T,
- one second of the rate for each change of owner,
- the rate times the time during which entries disagree about the owner,
- for an entry that is cut off from all others, its last granted rate times
  the time that it is cut off.
"""

from nutmegtrail.contracts import models as contract_models
from nutmegtrail.limits import bucket
from nutmegtrail.limits import const
from nutmegtrail.limits import models


def spend(
    allowance: models.Allowance,
    cost: models.Amount,
    now_seconds: float,
) -> models.Allowance | None:
    """Return the allowance after admitting a request.

    Returns None if the lease has expired or its remainder is too small.
    """
    if now_seconds >= allowance.valid_until_seconds:
        return None
    remaining = models.Amount(
        allowance.remaining.requests - cost.requests,
        allowance.remaining.tokens - cost.tokens,
    )
    if min(remaining) < 0:
        return None
    return allowance._replace(remaining=remaining)


def record_demand(
    allowance: models.Allowance,
    cost: models.Amount,
) -> models.Allowance:
    """Return the allowance with the cost of a request added to the demand."""
    return allowance._replace(demand=_add(allowance.demand, cost))


def start_lease_request(
    allowance: models.Allowance,
    cost: models.Amount,
) -> models.Allowance:
    """Return the allowance with its demand moved into a lease request.

    The request covers at least the given cost.
    """
    requested = models.Amount(
        max(allowance.demand.requests, cost.requests),
        max(allowance.demand.tokens, cost.tokens),
    )
    return allowance._replace(
        demand=models.Amount(), requested_amount=requested
    )


def apply_grant(
    allowance: models.Allowance,
    amount: models.Amount,
    valid_seconds: float,
    now_seconds: float,
) -> models.Allowance:
    """Return the allowance after a lease was granted.

    The remainder of an expired lease is forfeited.
    """
    remaining = allowance.remaining
    if now_seconds >= allowance.valid_until_seconds:
        remaining = models.Amount()
    elapsed = max(
        now_seconds - allowance.granted_at_seconds,
        const.LEASE_SECONDS,
    )
    granted_rate = models.Amount(
        amount.requests / elapsed, amount.tokens / elapsed
    )
    return allowance._replace(
        remaining=_add(remaining, amount),
        valid_until_seconds=now_seconds + valid_seconds,
        is_partial_grant=amount < allowance.requested_amount
        or amount.tokens < allowance.requested_amount.tokens,
        granted_rate=granted_rate,
        granted_at_seconds=now_seconds,
        fallback_buckets=None,
    )


def spend_fallback(
    allowance: models.Allowance,
    cost: models.Amount,
    even_rate: models.Amount,
    now_seconds: float,
) -> models.Allowance | None:
    """Admit a request while no other entry responds.

    The rate is the last granted one, or the even rate if none was granted.
    Returns None if that rate does not cover the request.
    """
    rate = allowance.granted_rate if any(allowance.granted_rate) else even_rate
    buckets = allowance.fallback_buckets or (
        _fallback_bucket(rate.requests, now_seconds),
        _fallback_bucket(rate.tokens, now_seconds),
    )
    requests = bucket.take(
        bucket.refill(buckets[0], now_seconds),
        cost.requests,
    )
    tokens = bucket.take(bucket.refill(buckets[1], now_seconds), cost.tokens)
    if requests is None or tokens is None:
        return None
    return allowance._replace(fallback_buckets=(requests, tokens))


def create_ledger(
    contract: contract_models.Contract,
    now_seconds: float,
) -> models.Ledger:
    """Return the ledger of a new owner, filled with one second of the rates.

    A change of owner can thus admit at most one second of the rates extra.
    """
    return models.Ledger(
        _owner_bucket(contract.requests_per_second, contract, now_seconds),
        _owner_bucket(contract.tokens_per_second, contract, now_seconds),
    )


def grant_lease(
    ledger: models.Ledger,
    entry: str,
    requested: models.Amount,
    in_flight: int,
    concurrency: int,
    now_seconds: float,
) -> tuple[models.Ledger, models.Amount]:
    """Return the ledger and the amount granted to an entry.

    Nothing is granted while the requests in flight use up the concurrency
    of the contract.
    """
    counts = _unexpired_counts(ledger.in_flight_by_entry, now_seconds)
    counts = counts.set(entry, (in_flight, now_seconds))
    counted = ledger._replace(
        requests=bucket.refill(ledger.requests, now_seconds),
        tokens=bucket.refill(ledger.tokens, now_seconds),
        in_flight_by_entry=counts,
    )
    free_slots = concurrency - sum(count for count, _ in counts.values())
    if free_slots < 1:
        return counted, models.Amount()
    requests, granted_requests = bucket.take_up_to(
        counted.requests,
        int(min(requested.requests, free_slots, counted.requests.level)),
    )
    tokens, granted_tokens = bucket.take_up_to(
        counted.tokens,
        int(min(requested.tokens, counted.tokens.level)),
    )
    granted = models.Amount(granted_requests, granted_tokens)
    return counted._replace(requests=requests, tokens=tokens), granted


def _owner_bucket(
    rate: float,
    contract: contract_models.Contract,
    now_seconds: float,
) -> bucket.Bucket:
    """Return a bucket that holds one second of the rate, at least one unit."""
    capacity = max(rate * contract.burst_seconds, 1)
    return bucket.Bucket(rate, capacity, max(rate, 1), now_seconds)


def _fallback_bucket(rate: float, now_seconds: float) -> bucket.Bucket:
    """Return a bucket that holds one second of an entry's fallback rate."""
    capacity = max(rate * const.LEASE_SECONDS, 1)
    return bucket.Bucket(rate, capacity, rate, now_seconds)


def _unexpired_counts(
    counts: models.CountsByEntry,
    now_seconds: float,
) -> models.CountsByEntry:
    """Return the counts of entries that reported within the owner timeout."""
    oldest = now_seconds - const.OWNER_TIMEOUT_SECONDS
    for entry, (_, counted_at_seconds) in counts.items():
        if counted_at_seconds < oldest:
            counts = counts.remove(entry)
    return counts


def _add(first: models.Amount, second: models.Amount) -> models.Amount:
    """Return the sum of two amounts."""
    return models.Amount(
        first.requests + second.requests,
        first.tokens + second.tokens,
    )
