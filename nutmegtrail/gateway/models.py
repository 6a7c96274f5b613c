"""Data models of the gateway: configuration, upstreams and requests."""

import collections.abc
import enum
import typing

from nutmegtrail import models
from nutmegtrail.gateway import const


class RouteKind(enum.StrEnum):
    """Retry semantics of a route's requests.

    `ONCE` requests are not idempotent. A `STREAM` may be retried only if the
    route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Target(typing.NamedTuple):
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Targets, time limits and retry limits for a host and path prefix.

    `objective_seconds` is the latency objective up to the response, or up to
    the first event of a stream. `pause_objective_seconds` is the longest
    allowed pause between events of a stream. `timeout_seconds` is the longest
    wait for the final response. `max_upstreams` limits the upstreams that one
    request may be sent to. Its requests are processed in `allowed_regions`
    only, in any region if it is None.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def pause_limit_seconds(self) -> float:
        """Return the pause after which callers abandon a stream."""
        return max(
            const.STREAM_ABANDONMENT_SECONDS,
            self.objective_seconds * const.STREAM_ABANDONMENT_OBJECTIVES,
            self.pause_objective_seconds * const.STREAM_ABANDONMENT_PAUSES,
        )

    @property
    def has_service(self) -> bool:
        """Return whether any service receives requests of the route."""
        return any(target.weight for target in self.targets)

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Peer(typing.NamedTuple):
    """Instance of the gateway, at the address for other instances."""

    address: models.Address
    failure_domain: str


class GroupShape(typing.NamedTuple):
    """Dimensions of the expert maps of a service's rank groups.

    `expert_slots` is the number of slots per rank and layer set.
    `spare_expert_slots` is the number of experts that a rank can load in
    addition to its current ones. `copy_seconds` is how long a rank copies an
    expert. Reports of ranks are `report_lag_seconds` old. Both are 0 if not
    known.
    """

    layer_sets: int
    experts: int
    expert_slots: int
    spare_expert_slots: int
    copy_seconds: float = 0
    report_lag_seconds: float = 0


class StepTimes(typing.NamedTuple):
    """Times of a pass of an upstream's engine.

    A pass lasts `idle_seconds`, and longer with each request: it takes
    `token_seconds` for each token that is written, and reads prompts at
    `prompt_tokens_per_second`. The usual numbers of tokens of a request are 0
    if they are not known.
    """

    idle_seconds: float
    token_seconds: float
    prompt_tokens_per_second: float
    usual_prompt_tokens: float = 0
    usual_output_tokens: float = 0


class Service(typing.NamedTuple):
    """Group of interchangeable upstreams.

    `shape` is None without experts, `step_times` if they are not known. After
    its start, an upstream is cold for `cold_seconds` and bears
    `cold_requests_per_second`. One of them is 0 if it bears as many as later.
    """

    name: str
    shape: GroupShape | None
    cold_seconds: float = 0
    cold_requests_per_second: float = 0
    step_times: StepTimes | None = None


class Account(typing.NamedTuple):
    """Client account; its priority, if set, overrides the route's.

    Its requests are processed in `allowed_regions` only, unless it is None.
    """

    name: str
    priority: int | None
    allowed_regions: frozenset[str] | None = None


class Limits(typing.NamedTuple):
    """Size limits and timeouts for requests from callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


RoutesByHost: typing.TypeAlias = collections.abc.Mapping[str, tuple[Route, ...]]


class Configuration(typing.NamedTuple):
    """Version of the configuration that operators publish.

    The routes of a host are sorted by descending prefix length.
    `checks_keys` is False if the configuration does not speak of client
    accounts. If it lists none, no key is valid.
    """

    version: int
    routes_by_host: RoutesByHost
    services_by_name: collections.abc.Mapping[str, Service]
    account_by_key: collections.abc.Mapping[str, Account]
    checks_keys: bool
    limits: Limits


class Membership(typing.NamedTuple):
    """Membership of an engine in a rank group.

    The epoch increases each time the group forms. `is_open` is False while
    the group accepts no requests.
    """

    group: str
    rank: int
    size: int
    epoch: int
    is_open: bool


# Identifier and start time.
Incarnation: typing.TypeAlias = tuple[str, int]


class Upstream(typing.NamedTuple):
    """Registration of one incarnation of an upstream.

    `slots` is the number of requests that it runs concurrently.
    `leaving` is set while the upstream drains. `started_at_ms` is the Unix
    time of its start, or 0 if it does not report one. `cold_seconds` is how
    much longer it stays cold after the registration was written, None if it
    does not say.
    """

    upstream_id: str
    service: str
    address: models.Address
    failure_domain: str
    slots: int
    leaving: bool
    started_at_ms: int
    membership: Membership | None
    cold_seconds: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return the key of this incarnation of the upstream."""
        return self.upstream_id, self.started_at_ms

    @property
    def group_name(self) -> str:
        """Return the rank group, or the upstream's ID if it has none.

        Latency, pause ratio and group ejection are recorded by this name.
        """
        if self.membership is None:
            return self.upstream_id
        return self.membership.group


class CallerRequest(typing.NamedTuple):
    """Request metadata that a caller sends in its headers.

    `budget_seconds` is how long the caller waits, or None if not stated.
    `last_event` is the number of the last event that a caller resuming a
    stream has received. `shared_parts` identifies the parts of its prompt that
    other requests may share, the first ones of the prompt. `prompt_tokens`,
    `output_tokens`, the expected ones, and `output_tokens_limit` are 0 if they
    are not known.
    """

    request_id: str
    host: str
    path: str
    api_key: str
    budget_seconds: float | None
    last_event: int | None
    shared_parts: tuple[str, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_tokens_limit: int = 0


class ResponseKind(enum.Enum):
    """Meaning of a response head for the request.

    `FOREIGN` marks a response that belongs to another request or does not
    come from the upstream application.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not-run'
    WRONG_UPSTREAM = 'wrong-upstream'
    FOREIGN = 'foreign'


class UpstreamSignals(typing.NamedTuple):
    """What an upstream says of itself in the headers of a response.

    `is_leaving` announces that it leaves. `hold_off_seconds` is for how long
    it wants no further requests of this host, 0 if it does not say.
    `requests_per_second` is what it takes from all hosts together, None
    without a limit. `has_unreadable_limit` is set if it names a limit that is
    not a number. `cold_seconds` is how much longer it stays cold, None if it
    does not say.
    """

    is_leaving: bool = False
    hold_off_seconds: float = 0
    requests_per_second: float | None = None
    has_unreadable_limit: bool = False
    cold_seconds: float | None = None


class ReceivedSignals(typing.NamedTuple):
    """Signals of an upstream and the request that it answered.

    `asked_at_seconds` is when the request was assigned to the upstream; the
    response was made later. `request_id` is empty for a call to the upstream's
    control API.
    """

    signals: UpstreamSignals
    asked_at_seconds: float
    request_id: str = ''


class ResponseClassification(typing.NamedTuple):
    """Classification of an upstream's response head.

    `faulty_upstream_id` names the engine that keeps its rank group from
    working, or is empty. `signals` is None unless the response is that of the
    upstream that the request was sent to. `names_request` is set if the
    response has the ID of the request.
    """

    response_kind: ResponseKind
    faulty_upstream_id: str
    signals: UpstreamSignals | None = None
    names_request: bool = False


class ForwardingMetadata(typing.NamedTuple):
    """Metadata that is forwarded in addition to the caller's headers."""

    upstream_id: str
    account: str
    remaining_seconds: float
    last_event: int | None
