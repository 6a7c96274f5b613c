"""Configuration, upstreams and requests as direct delivery sees them."""

import collections.abc
import enum
import typing

from nutmegtrail import models


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Target(typing.NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of a host and path prefix go, and what they may cost.

    `objective_seconds` counts to the answer, for a stream to its first
    event; `timeout_seconds` is the longest wait for a final answer.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_seconds: float
    objective_seconds: float
    pause_objective_seconds: float
    priority: int
    max_upstreams: int
    needs_key: bool
    resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run on a second upstream."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class GroupShape(typing.NamedTuple):
    """Sizes of the expert maps of a service's rank groups.

    `places` are slots a rank and layer set, `spare_places` the experts
    that a rank can load beside its present ones.
    """

    layer_sets: int
    experts: int
    expert_slots: int
    spare_expert_slots: int


class Service(typing.NamedTuple):
    """Upstreams of one kind."""

    name: str
    shape: GroupShape | None


class Account(typing.NamedTuple):
    """A client account; its priority goes before the route's."""

    name: str
    priority: int | None


class Limits(typing.NamedTuple):
    """What callers may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


RoutesByHost: typing.TypeAlias = collections.abc.Mapping[str, tuple[Route, ...]]


class Configuration(typing.NamedTuple):
    """A version of the operators' configuration.

    The routes of a host are in the order of falling prefix length.
    `checks_keys` is false where no client accounts are configured.
    """

    version: int
    routes_by_host: RoutesByHost
    services_by_name: collections.abc.Mapping[str, Service]
    account_by_key: collections.abc.Mapping[str, Account]
    checks_keys: bool
    limits: Limits


class Membership(typing.NamedTuple):
    """An engine's place in a rank group; each forming is a new epoch."""

    group: str
    rank: int
    size: int
    epoch: int
    is_open: bool


class Upstream(typing.NamedTuple):
    """An incarnation of an upstream as it registered itself.

    `slots` are requests that it runs at once, `started_at_ms` is the Unix
    time of its start (0 where it does not say).
    """

    upstream_id: str
    service: str
    address: models.Address
    failure_domain: str
    slots: int
    leaving: bool
    started_at_ms: int
    membership: Membership | None

    @property
    def group_name(self) -> str:
        """Return the name under which upstreams share their pace."""
        if self.membership is None:
            return self.upstream_id
        return self.membership.group


class CallerRequest(typing.NamedTuple):
    """What a caller says of its request besides method, path and body.

    `budget_seconds` is how long the caller waits, None if it does not say;
    `last_event` is the last event that a resuming caller has.
    """

    request_id: str
    host: str
    path: str
    api_key: str
    budget_seconds: float | None
    last_event: int | None


class ResponseKind(enum.Enum):
    """What an answer's head says of the request."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not-run'
    WRONG_UPSTREAM = 'wrong-upstream'
    FOREIGN = 'foreign'


class ResponseClassification(typing.NamedTuple):
    """What an upstream's head says.

    `faulty_upstream_id` names the engine that keeps a group from working.
    """

    response_kind: ResponseKind
    faulty_upstream_id: str


class ForwardingMetadata(typing.NamedTuple):
    """What an upstream is told besides the caller's own headers."""

    upstream_id: str
    account: str
    remaining_seconds: float
    last_event: int | None
