"""Lookup of the route, client account and service of a request."""

import xxhash

from nutmegtrail.gateway import models

_HASH_RANGE = 1 << 32


def find_route(
    configuration: models.Configuration,
    host: str,
    path: str,
) -> models.Route | None:
    """Return the route with the longest matching prefix, None if none."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_account(
    configuration: models.Configuration,
    route: models.Route,
    api_key: str,
) -> models.Account | None:
    """Return the account of an API key, None if access is denied.

    The account is empty if the key is unknown but none is required.
    """
    account = configuration.account_by_key.get(api_key)
    if account is None and not (configuration.checks_keys and route.needs_key):
        return models.Account('', None)
    return account


def choose_service(route: models.Route, request_id: str) -> str:
    """Return the service of a request, by the weights of the route.

    The choice depends on the request ID, so that it is the same for retries.
    A service with a weight of 0 is not chosen; one must have another.
    """
    targets = [target for target in route.targets if target.weight]
    total_weight = sum(target.weight for target in targets)
    hashed = xxhash.xxh3_64_intdigest(request_id.encode()) % _HASH_RANGE
    position = hashed / _HASH_RANGE * total_weight
    for target in targets:
        position -= target.weight
        if position < 0:
            return target.service
    return targets[-1].service
