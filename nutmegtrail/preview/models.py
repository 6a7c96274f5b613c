"""Data models of the preview of a request."""

import enum
import typing

from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import selection


class Outcome(enum.StrEnum):
    """What would happen to a request that arrives now."""

    SENT = 'sent'
    QUEUED = 'queued'
    REFUSED = 'refused'
    DENIED = 'denied'


class Obstacle(enum.StrEnum):
    """What keeps an upstream from taking a request now."""

    NONE = ''
    REGION = 'its region is not allowed'
    OUT_OF_SERVICE = 'its failure domain is out of service'
    LEAVING = 'it leaves'
    GROUP_CLOSED = 'its rank group is not open'
    EJECTED = 'it is ejected after failures'
    HELD_OFF = 'it holds requests off'
    LIMITED = 'its request limit is used up'
    COLD = 'it is cold and has got what it bears'
    SLOTS_TAKEN = 'all of its slots are taken'
    GROUP_FULL = 'the room of its group is used up'
    NOT_CHOSEN = 'it is not a candidate'


class Situation(typing.NamedTuple):
    """State that decides on a request for one service.

    `capacity_ratio` is the part of the room of a group that the request may
    use. `waiting_before` counts the queued requests that are as urgent.
    `wait_seconds` is the expected time until there is room, 0 if there is some.
    """

    context: selection.SelectionContext
    queued: request_queue.QueuedRequest
    preference: selection.Preference
    capacity_ratio: float
    waiting_before: int
    wait_seconds: float


class UpstreamPreview(typing.TypedDict):
    """Upstream of a service with its load; `obstacle` is empty if it is free."""

    upstream: str
    failure_domain: str
    in_flight: int
    slots: int
    group: str
    group_in_flight: int | None
    group_room: float | None
    obstacle: str


class ServicePreview(typing.TypedDict):
    """What would happen at one service, and the state of its upstreams.

    `weight` is the part of the route's requests that the service gets.
    `upstream` is where the request would be sent, '' if nowhere.
    """

    service: str
    weight: float
    outcome: str
    reason: str
    upstream: str
    room_ratio: float
    waiting_before: int
    wait_seconds: float
    upstreams: list[UpstreamPreview]


class Preview(typing.TypedDict):
    """What would happen to a request of an account at a host and path."""

    host: str
    path: str
    client_account: str
    configuration: int | None
    route: str
    priority: int | None
    outcome: str
    reason: str
    services: list[ServicePreview]
