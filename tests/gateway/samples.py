"""Values that several tests of direct delivery start from."""

from nutmegtrail import models as shared_models
from nutmegtrail.gateway import models


def upstream(name, service='drafts', **changes):
    """Return a registered upstream."""
    made = models.Upstream(
        name,
        service,
        shared_models.Address('127.0.0.1', 1),
        'kandla-a',
        slots=2,
        leaving=False,
        started_at_ms=1,
        membership=None,
    )
    return made._replace(**changes)


def member(name, rank, group='g0', **changes):
    """Return an upstream in a rank group of two."""
    membership = models.Membership(group, rank, size=2, epoch=1, is_open=True)
    return upstream(name, membership=membership._replace(**changes))


def route(kind=models.RouteKind.IDEMPOTENT, **changes):
    """Return a route to the service `drafts`."""
    made = models.Route(
        'r1',
        'example',
        '/a/',
        kind,
        (models.Target('drafts', 1),),
        timeout_seconds=8.0,
        objective_seconds=0.4,
        pause_objective_seconds=0.12,
        priority=1,
        max_upstreams=2,
        needs_key=True,
        resumable=True,
    )
    return made._replace(**changes)


def configuration(*routes):
    """Return a configuration with one client account."""
    return models.Configuration(
        7,
        {'example': routes},
        {},
        {'key-1': models.Account('agency', 3)},
        checks_keys=True,
        limits=models.Limits(16_384, 4_194_304, 3.0, 15.0),
    )
