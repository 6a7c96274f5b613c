"""Leases of a contract's rates from the account's owner to the entries.

Admitted in any window of T seconds: at most the burst, plus rate times T,
plus one second of the rate for each change of owner, plus the rate times
the time during which entries disagree about the owner, plus, for an entry
that is cut off, its last share of the rate times that time.
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
    """Return the allowance after admitting a request, None if too small."""
    if now_seconds >= allowance.valid_until_seconds:
        return None
    left = models.Amount(
        allowance.left.requests - cost.requests,
        allowance.left.tokens - cost.tokens,
    )
    if min(left) < 0:
        return None
    return allowance._replace(left=left)


def record_demand(
    allowance: models.Allowance,
    cost: models.Amount,
) -> models.Allowance:
    """Return the allowance after a request asked for admission."""
    return allowance._replace(demand=_add(allowance.demand, cost))


def start_lease_request(
    allowance: models.Allowance,
    cost: models.Amount,
) -> models.Allowance:
    """Return the allowance after its demand was sent to the owner."""
    asked = models.Amount(
        max(allowance.demand.requests, cost.requests),
        max(allowance.demand.tokens, cost.tokens),
    )
    return allowance._replace(demand=models.Amount(), requested_amount=asked)


def apply_grant(
    allowance: models.Allowance,
    amount: models.Amount,
    valid_seconds: float,
    now_seconds: float,
) -> models.Allowance:
    """Return the allowance after a lease; an expired rest is forfeited."""
    rest = allowance.left
    if now_seconds >= allowance.valid_until_seconds:
        rest = models.Amount()
    elapsed = max(
        now_seconds - allowance.asked_at_seconds,
        const.LEASE_SECONDS,
    )
    share = models.Amount(amount.requests / elapsed, amount.tokens / elapsed)
    return allowance._replace(
        left=_add(rest, amount),
        valid_until_seconds=now_seconds + valid_seconds,
        is_partial_grant=amount < allowance.requested_amount
        or amount.tokens < allowance.requested_amount.tokens,
        share=share,
        asked_at_seconds=now_seconds,
        fallback=None,
    )


def spend_fallback(
    allowance: models.Allowance,
    cost: models.Amount,
    even: models.Amount,
    now_seconds: float,
) -> models.Allowance | None:
    """Admit from the last share, or an even one, while all are silent."""
    share = allowance.share if any(allowance.share) else even
    buckets = allowance.fallback or (
        _fallback_bucket(share.requests, now_seconds),
        _fallback_bucket(share.tokens, now_seconds),
    )
    requests = bucket.take(
        bucket.refill(buckets[0], now_seconds),
        cost.requests,
    )
    tokens = bucket.take(bucket.refill(buckets[1], now_seconds), cost.tokens)
    if requests is None or tokens is None:
        return None
    return allowance._replace(fallback=(requests, tokens))


def create_ledger(
    contract: contract_models.Contract,
    now_seconds: float,
) -> models.Ledger:
    """Return a new owner's ledger: one second of the rates is certain."""
    return models.Ledger(
        _owner_bucket(contract.requests_per_second, contract, now_seconds),
        _owner_bucket(contract.tokens_per_second, contract, now_seconds),
    )


def grant_lease(
    ledger: models.Ledger,
    entry: str,
    wanted: models.Amount,
    in_flight: int,
    concurrency: int,
    now_seconds: float,
) -> tuple[models.Ledger, models.Amount]:
    """Return the ledger and the amount leased to an entry."""
    counts = _fresh_counts(ledger.in_flight_by_entry, now_seconds)
    counts = counts.set(entry, (in_flight, now_seconds))
    counted = ledger._replace(
        requests=bucket.refill(ledger.requests, now_seconds),
        tokens=bucket.refill(ledger.tokens, now_seconds),
        in_flight_by_entry=counts,
    )
    free = concurrency - sum(count for count, _ in counts.values())
    if free < 1:
        return counted, models.Amount()
    requests, given_requests = bucket.take_up_to(
        counted.requests,
        int(min(wanted.requests, free, counted.requests.level)),
    )
    tokens, given_tokens = bucket.take_up_to(
        counted.tokens,
        int(min(wanted.tokens, counted.tokens.level)),
    )
    given = models.Amount(given_requests, given_tokens)
    return counted._replace(requests=requests, tokens=tokens), given


def _owner_bucket(
    rate: float,
    contract: contract_models.Contract,
    now_seconds: float,
) -> bucket.Bucket:
    """Return a bucket that holds one second of the rate, at least a unit."""
    capacity = max(rate * contract.burst_seconds, 1)
    return bucket.Bucket(rate, capacity, max(rate, 1), now_seconds)


def _fallback_bucket(rate: float, now_seconds: float) -> bucket.Bucket:
    """Return an empty bucket at the entry's last share of a rate."""
    capacity = max(rate * const.LEASE_SECONDS, 1)
    return bucket.Bucket(rate, capacity, rate, now_seconds)


def _fresh_counts(
    counts: models.CountsByEntry,
    now_seconds: float,
) -> models.CountsByEntry:
    """Return the counts of the entries that were heard of lately."""
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
