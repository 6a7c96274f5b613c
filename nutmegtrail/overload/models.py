"""Data models of the decisions under too little room."""

import typing

from nutmegtrail.overload import const


class PauseSample(typing.NamedTuple):
    """Pause between two events of a stream, and the load of its pass.

    `ratio` is the pause divided by the longest allowed one. `load` is the
    number of requests that the group had. `idle_ratio` is the part of the
    ratio that does not depend on the load. `is_remembered` is set if that part
    is known from the step times of the upstreams, and the load from all
    entries: the slowness of the pass can then be compared with later ones.
    """

    ratio: float
    load: int
    idle_ratio: float = const.IDLE_PAUSE_RATIO
    is_remembered: bool = False


class SlowPeriod(typing.NamedTuple):
    """Highest pause ratio per request in flight within a numbered period."""

    number: int
    per_request: float


class Pace(typing.NamedTuple):
    """Recent pause ratios of a group.

    `per_request` is the highest recent pause ratio per request in flight. It
    excludes `idle_ratio`, the part that does not depend on the load.
    `slow_periods` are of remembered samples, the oldest first.
    """

    per_request: float
    observed_at_seconds: float
    idle_ratio: float = const.IDLE_PAUSE_RATIO
    slow_periods: tuple[SlowPeriod, ...] = ()


class Turns(typing.NamedTuple):
    """Turns of requests that are less urgent than others in a queue.

    `passed_over` is how many starts in a row went to more urgent requests than
    others that waited. `last_priority` had the last turn.
    """

    passed_over: int = 0
    last_priority: int = 0


class WaitingRequest(typing.Protocol):
    """Request that waits for room.

    After `objective_deadline_seconds` its response is late. After
    `latest_start_seconds` starting it no longer helps its caller. Lower
    priority numbers are more urgent. `is_resumed` marks a stream whose first
    events were sent. `start_tag` orders accounts by their fair shares.
    """

    @property
    def priority(self) -> int:
        """Return the priority of the account or the route."""

    @property
    def objective_deadline_seconds(self) -> float:
        """Return the time after which the response is late."""

    @property
    def latest_start_seconds(self) -> float:
        """Return the time after which starting no longer helps."""

    @property
    def is_resumed(self) -> bool:
        """Return whether it is a stream that goes on."""

    @property
    def start_tag(self) -> float:
        """Return the virtual start time of fair queueing."""

    @property
    def arrival_number(self) -> int:
        """Return the position in the order of arrival."""
