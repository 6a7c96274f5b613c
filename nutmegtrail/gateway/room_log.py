"""Log of the room of groups, at intervals."""

import typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import health
from nutmegtrail.observability import logs
from nutmegtrail.overload import room


class RoomLog:
    """Tells how much room groups have and what it follows from."""

    def __init__(self) -> None:
        """Initialize without any line."""
        self._next_at_seconds = float('-inf')

    def write(
        self,
        upstream_health: health.Health,
        loads_by_group: typing.Mapping[str, int],
        waiting: int,
        now_seconds: float,
    ) -> None:
        """Write a line for each group with a recent pause, if it is time."""
        if now_seconds < self._next_at_seconds:
            return
        self._next_at_seconds = now_seconds + const.ROOM_LOG_INTERVAL_SECONDS
        for group, pace in upstream_health.paces_by_group.items():
            capacity = health.capacity(upstream_health, group, now_seconds)
            if capacity is None or group not in loads_by_group:
                continue
            recurring = room.recurring_slowness(pace, now_seconds)
            logs.decision(
                'group:room',
                group=group,
                room=round(min(capacity, const.LOGGED_ROOM_LIMIT), 1),
                in_flight=loads_by_group[group],
                idle_ratio=round(pace.idle_ratio, 3),
                recent_slowness=round(pace.per_request, 5),
                recurring_slowness=round(recurring, 5),
                waiting=waiting,
            )
