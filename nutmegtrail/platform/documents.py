"""Decoders for configuration documents and upstream registrations."""

import json
import typing

import pyrsistent

from nutmegtrail import checks
from nutmegtrail import const as shared_const
from nutmegtrail import models as shared_models
from nutmegtrail.gateway import const as gateway_const
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import const

_JsonObject: typing.TypeAlias = dict[str, typing.Any]
_KINDS_BY_NAME: typing.Final = pyrsistent.pmap(
    {
        'safe': models.RouteKind.IDEMPOTENT,
        'unsafe': models.RouteKind.ONCE,
        'streaming': models.RouteKind.STREAM,
    },
)
_DECODE_ERRORS: typing.Final = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)
# Numbers out of range are those of another writer.
_MAX_INTEGER: typing.Final = 2**63 - 1
_MAX_SIZE: typing.Final = 65_536
_MAX_COLD_MILLISECONDS: typing.Final = 86_400_000


def configuration(content: bytes) -> models.Configuration:
    """Decode a configuration document; raise MalformedDocument if invalid."""
    try:
        return _configuration(json.loads(content))
    except _DECODE_ERRORS as error:
        raise errors.MalformedDocument(
            f'{const.CONFIGURATION_KEY}: invalid configuration: {error!r}',
        ) from error


def upstream(key: str, content: bytes) -> models.Upstream:
    """Decode a registration; raise MalformedDocument if invalid."""
    try:
        return _upstream(upstream_id_of(key), json.loads(content))
    except _DECODE_ERRORS as error:
        raise errors.MalformedDocument(
            f'{key}: invalid upstream registration: {error!r}',
        ) from error


def upstream_id_of(key: str) -> str:
    """Return the upstream identifier in the key of a registration."""
    return key.removeprefix(const.UPSTREAM_PREFIX)


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a key takes out of service.

    None for other keys. The key alone counts, whatever its content.
    """
    if not key.startswith(const.EVACUATION_PREFIX):
        return None
    return key.removeprefix(const.EVACUATION_PREFIX)


def _configuration(document: _JsonObject) -> models.Configuration:
    """Build the configuration from a decoded document."""
    routes_by_host: dict[str, list[models.Route]] = {}
    for route_document in document['routes']:
        route = _route(route_document)
        routes_by_host.setdefault(route.host, []).append(route)
    limits = document['limits']
    accounts = document.get(const.ACCOUNTS_FIELD) or []
    return models.Configuration(
        _integer(document['version']),
        {
            host: tuple(sorted(routes, key=_longest_prefix_first))
            for host, routes in routes_by_host.items()
        },
        {
            service['name']: _service(service)
            for service in document['services']
        },
        {
            api_key: models.Account(
                account['name'],
                account.get('priority'),
                _allowed_regions(account),
            )
            for account in accounts
            for api_key in _api_keys(account)
        },
        const.ACCOUNTS_FIELD in document,
        models.Limits(
            _integer(limits['max_header_bytes']),
            _integer(limits['max_body_bytes']),
            _to_seconds(limits['header_timeout_ms']),
            _to_seconds(limits['idle_timeout_ms']),
        ),
    )


def _api_keys(account: _JsonObject) -> list[str]:
    """Return the keys of an account; raise TypeError if they are no list.

    The characters of a text would be taken for keys, and an empty key for that
    of requests without one.
    """
    api_keys = account['api_keys']
    if not isinstance(api_keys, list):
        raise TypeError(f'api_keys must be a list, not {type(api_keys)}')
    return [api_key for api_key in api_keys if api_key]


def _longest_prefix_first(route: models.Route) -> int:
    """Return the sort key that puts longer path prefixes first."""
    return -len(route.prefix)


def _route(document: _JsonObject) -> models.Route:
    """Build a route; durations in the document are in milliseconds."""
    traffic_split = document.get('traffic_split') or [
        {'service': document['service'], 'weight': 1},
    ]
    return models.Route(
        document['name'],
        document['host'],
        document['prefix'],
        _KINDS_BY_NAME[document['kind']],
        tuple(
            models.Target(
                target['service'], checks.non_negative(target['weight'])
            )
            for target in traffic_split
        ),
        _to_seconds(document['timeout_ms']),
        _to_seconds(document['target_latency_ms']),
        _to_seconds(document.get('gap_aim_ms') or 0),
        int(document.get('priority') or 0),
        _integer(document.get('max_attempts') or 1),
        document.get('no_auth', False) is not True,
        bool(document.get('resumable', False)),
        _allowed_regions(document),
    )


def _allowed_regions(document: _JsonObject) -> frozenset[str] | None:
    """Return the regions that requests are bound to, None if there are none."""
    regions = document.get('allowed_regions')
    if not regions:
        return None
    if not isinstance(regions, list):
        raise TypeError(f'allowed_regions must be a list, not {regions!r}')
    return frozenset(str(region) for region in regions)


def _service(document: _JsonObject) -> models.Service:
    """Build a service; its group shape is None without experts."""
    engine = document.get('engine') or {}
    group_shape = None
    if engine.get('experts'):
        group_shape = models.GroupShape(
            _integer(engine['sets'], _MAX_SIZE),
            _integer(engine['experts'], _MAX_SIZE),
            _integer(engine['places'], _MAX_SIZE),
            _integer(engine['spare'], _MAX_SIZE),
            _copy_seconds(engine),
            _to_seconds(engine.get('report_lag_ms') or 0),
        )
    return models.Service(
        document['name'],
        group_shape,
        checks.non_negative(document.get('cold_s') or 0),
        checks.non_negative(document.get('cold_per_s') or 0),
        _step_times(engine),
    )


def _step_times(engine: _JsonObject) -> models.StepTimes | None:
    """Build the times of a pass, None unless all of them are told."""
    if not all(engine.get(field) for field in const.STEP_TIME_FIELDS):
        return None
    usual = engine.get('usual') or {}
    return models.StepTimes(
        _integer(engine['stride'], _MAX_SIZE) * _to_seconds(engine['step_ms']),
        _to_seconds(engine['per_seq_ms']),
        checks.non_negative(engine['read_per_s']),
        checks.non_negative(usual.get('prompt') or 0),
        checks.non_negative(usual.get('answer') or 0),
    )


def _copy_seconds(engine: _JsonObject) -> float:
    """Return how long a rank copies an expert, 0 if it is not told."""
    megabits = (
        checks.non_negative(engine.get('expert_mb') or 0)
        * shared_const.BITS_PER_BYTE
    )
    megabits_per_second = checks.non_negative(engine.get('link_mbps') or 0)
    return megabits / megabits_per_second if megabits_per_second else 0


def _upstream(upstream_id: str, document: _JsonObject) -> models.Upstream:
    """Build an upstream; raise TypeError or ValueError for invalid fields."""
    state = document['state']
    if state not in {const.READY_STATE, const.DRAINING_STATE}:
        raise ValueError(f'state must be ready or draining, not {state!r}')
    for field in ('service', 'address', 'zone'):
        if not isinstance(document[field], str):
            raise TypeError(f'{field} must be a string')
    slots = document.get('slots')
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        slots = gateway_const.DEFAULT_SLOTS
    slots = _integer(slots, _MAX_SIZE)
    return models.Upstream(
        upstream_id,
        document['service'],
        shared_models.parse_address(document['address']),
        document['zone'],
        slots,
        state == const.DRAINING_STATE,
        _integer(document.get('born') or 0),
        _membership(document.get('group'), document.get('size')),
        _cold_seconds(document.get('cold_left_ms')),
    )


def _cold_seconds(milliseconds: object) -> float | None:
    """Return how much longer an upstream stays cold, None if unreadable."""
    if isinstance(milliseconds, bool):
        return None
    if not isinstance(milliseconds, int | float):
        return None
    if not 0 <= milliseconds <= _MAX_COLD_MILLISECONDS:
        return None
    return _to_seconds(milliseconds)


def _membership(
    group: _JsonObject | None,
    size: int | None,
) -> models.Membership | None:
    """Build the rank group membership, None without a group."""
    if not isinstance(group, dict):
        return None
    return models.Membership(
        str(group['name']),
        _integer(group['rank'], _MAX_SIZE),
        _integer(size or 0, _MAX_SIZE),
        _integer(group['epoch']),
        group['state'] == const.OPEN_STATE,
    )


def _to_seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return (
        checks.non_negative(milliseconds) / shared_const.MILLISECONDS_PER_SECOND
    )


def _integer(number: int | str, most: int = _MAX_INTEGER) -> int:
    """Return an integer; raise ValueError if it is out of range."""
    integer = int(number)
    if not 0 <= integer <= most:
        raise ValueError(f'an integer must be from 0 to {most}')
    return integer
