"""Selection of an upstream by prompt prefix with bounded load."""

import typing

import xxhash

from nutmegtrail.routing import const
from nutmegtrail.routing import load as load_estimate
from nutmegtrail.routing import models


def prefix_key(client_account: str, target: str, prompt: bytes) -> str:
    """Return the routing key of requests that share a cached prefix."""
    prefix = prompt[: const.PREFIX_BYTES]
    digest = xxhash.xxh3_64_hexdigest(prefix)
    return f'{client_account}/{target}/{digest}'


def rank(key: str, names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return names by rendezvous hash, in the same order in every process."""
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(f'{key}|{name}'.encode()),
            reverse=True,
        ),
    )


def choose(
    key: str,
    upstreams: typing.Collection[str],
    load: models.Load,
    now_seconds: float,
) -> models.Choice | None:
    """Return the first candidate within the load bound.

    A hot prefix spills over to its next candidate. If all candidates exceed
    the bound, the least loaded of all upstreams is chosen. Returns None if
    there are no upstreams.
    """
    if not upstreams:
        return None
    load_by_upstream = {
        upstream: load_estimate.estimate(load, upstream, now_seconds)
        for upstream in upstreams
    }
    mean_load = sum(load_by_upstream.values()) / len(load_by_upstream)
    load_bound = mean_load * const.LOAD_BOUND_RATIO + const.LOAD_SLACK_REQUESTS
    candidates = rank(key, upstreams)[: const.CANDIDATE_COUNT]
    for position, candidate in enumerate(candidates):
        if load_by_upstream[candidate] <= load_bound:
            reason = 'prefix' if position == 0 else 'spill'
            return models.Choice(candidate, candidates, reason)
    least_loaded = min(upstreams, key=load_by_upstream.__getitem__)
    return models.Choice(least_loaded, candidates, 'least-loaded')
