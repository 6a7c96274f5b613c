"""Decoding of the operators' configuration and of registrations."""

import json
import typing

import pyrsistent

from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.gateway import const as gateway_const
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import const

_Document: typing.TypeAlias = dict[str, typing.Any]
_KINDS: typing.Final = pyrsistent.pmap(
    {
        'safe': models.RouteKind.IDEMPOTENT,
        'unsafe': models.RouteKind.ONCE,
        'streaming': models.RouteKind.STREAM,
    },
)
_MALFORMED: typing.Final = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
)


def configuration(content: bytes) -> models.Configuration:
    """Return the configuration; raise MalformedDocument if unusable."""
    try:
        return _configuration(json.loads(content))
    except _MALFORMED as error:
        raise errors.MalformedDocument(
            f'{const.CONFIGURATION_KEY} can not be used: {error!r}',
        ) from error


def upstream(key: str, content: bytes) -> models.Upstream:
    """Return a registration; raise MalformedDocument if unusable."""
    try:
        return _upstream(upstream_id_of(key), json.loads(content))
    except _MALFORMED as error:
        raise errors.MalformedDocument(
            f'{key} names no usable upstream: {error!r}',
        ) from error


def upstream_id_of(key: str) -> str:
    """Return the identifier in the key of a registration."""
    return key.removeprefix(const.UPSTREAM_PREFIX)


def _configuration(document: _Document) -> models.Configuration:
    """Return the configuration that a document holds."""
    routes_by_host: dict[str, list[models.Route]] = {}
    for row in document['routes']:
        route = _route(row)
        routes_by_host.setdefault(route.host, []).append(route)
    limits = document['limits']
    accounts = document.get('tenants') or []
    return models.Configuration(
        int(document['version']),
        {
            host: tuple(sorted(routes, key=_falling_length))
            for host, routes in routes_by_host.items()
        },
        {row['name']: _service(row) for row in document['services']},
        {
            api_key: models.Account(row['name'], row.get('priority'))
            for row in accounts
            for api_key in row['api_keys']
        },
        bool(accounts),
        models.Limits(
            int(limits['max_header_bytes']),
            int(limits['max_body_bytes']),
            _seconds(limits['header_timeout_ms']),
            _seconds(limits['idle_timeout_ms']),
        ),
    )


def _falling_length(route: models.Route) -> int:
    """Return the sort key that puts long prefixes first."""
    return -len(route.prefix)


def _route(row: _Document) -> models.Route:
    """Return a route."""
    split = row.get('traffic_split') or [
        {'service': row['service'], 'weight': 1},
    ]
    return models.Route(
        row['name'],
        row['host'],
        row['prefix'],
        _KINDS[row['kind']],
        tuple(
            models.Target(part['service'], float(part['weight']))
            for part in split
        ),
        _seconds(row['timeout_ms']),
        _seconds(row['target_latency_ms']),
        _seconds(row.get('gap_aim_ms') or 0),
        int(row.get('priority') or 0),
        int(row.get('max_attempts') or 1),
        not row.get('no_auth', False),
        bool(row.get('resumable', False)),
    )


def _service(row: _Document) -> models.Service:
    """Return a service."""
    engine = row.get('engine') or {}
    shape = None
    if engine.get('experts'):
        shape = models.GroupShape(
            int(engine['sets']),
            int(engine['experts']),
            int(engine['places']),
            int(engine['spare']),
        )
    return models.Service(row['name'], shape)


def _upstream(upstream_id: str, row: _Document) -> models.Upstream:
    """Return a registered upstream; refuse fields of a wrong type."""
    state = row['state']
    if state not in {const.READY_STATE, const.LEAVING_STATE}:
        raise ValueError(f'unknown state {state!r}')
    for field in ('service', 'address', 'zone'):
        if not isinstance(row[field], str):
            raise TypeError(f'{field} is no text')
    slots = row.get('slots')
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        slots = gateway_const.DEFAULT_SLOTS
    return models.Upstream(
        upstream_id,
        row['service'],
        shared_models.parse_address(row['address']),
        row['zone'],
        slots,
        state == const.LEAVING_STATE,
        int(row.get('born') or 0),
        _membership(row.get('group'), row.get('size')),
    )


def _membership(
    group: _Document | None,
    size: int | None,
) -> models.Membership | None:
    """Return an engine's place in its rank group, None without one."""
    if not isinstance(group, dict):
        return None
    return models.Membership(
        str(group['name']),
        int(group['rank']),
        int(size or 0),
        int(group['epoch']),
        group['state'] == const.OPEN_STATE,
    )


def _seconds(milliseconds: float) -> float:
    """Return milliseconds in seconds."""
    return float(milliseconds) / shared_const.MILLISECONDS_PER_SECOND
