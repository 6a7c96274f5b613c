"""Decides which requests a process takes while it stops."""

import collections
import collections.abc
import contextlib
import math
import typing

from nutmegtrail.draining import const
from nutmegtrail.draining import estimate
from nutmegtrail.draining import models
from nutmegtrail.draining import schedule


class _Outlook(typing.NamedTuple):
    """What is expected of a kind of request, for a moment.

    `silenced` is the profile of the requests that may meet silences, and
    `longest` that of all requests.
    """

    profile: estimate.Profile
    silenced: estimate.Profile
    longest: estimate.Profile
    overdue: float
    longest_silence_seconds: float
    refresh_at_seconds: float


class Drain:
    """Remembers how long requests take; knows when a planned stop ends them.

    A request is taken during a stop if it is over before the end of the grace
    period: by its own limits or, while new connections come, by the durations
    of others.
    """

    def __init__(self) -> None:
        """Initialize without a stop."""
        self.signalled_at_seconds: float | None = None
        self.schedule = schedule.Schedule(math.inf, math.inf, math.inf)
        self._running_by_key: dict[
            collections.abc.Hashable, models.Running
        ] = {}
        self._durations_by_kind: collections.defaultdict[
            tuple[str, ...], collections.deque[models.Duration]
        ] = collections.defaultdict(_remembered)
        self._silences: collections.deque[models.Silence] = collections.deque(
            maxlen=const.REMEMBERED_SILENCES
        )
        self._outlook_by_kind: dict[tuple[str, ...], _Outlook] = {}
        self._begin_listeners: set[collections.abc.Callable[[], None]] = set()

    @property
    def is_active(self) -> bool:
        """Return whether the process stops."""
        return self.signalled_at_seconds is not None

    def notice(
        self, signalled_at_seconds: float, planned: schedule.Schedule
    ) -> None:
        """Begin a stop, unless it has begun; `announce` tells the listeners.

        A signal handler may call it.
        """
        if not self.is_active:
            self.signalled_at_seconds = signalled_at_seconds
            self.schedule = planned

    def announce(self) -> None:
        """Tell the listeners that a stop has begun."""
        for listener in tuple(self._begin_listeners):
            listener()

    @contextlib.contextmanager
    def notify_at_begin(
        self, listener: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Call a listener if a stop begins during the block."""
        self._begin_listeners.add(listener)
        try:
            yield
        finally:
            self._begin_listeners.discard(listener)

    def record_start(
        self,
        key: collections.abc.Hashable,
        request: models.Request,
        now_seconds: float,
    ) -> None:
        """Record that a request got an upstream; later ones do not count."""
        self._running_by_key.setdefault(
            key, models.Running(request, now_seconds)
        )

    def record_end(
        self,
        key: collections.abc.Hashable,
        now_seconds: float,
        first_event_at_seconds: float | None = None,
        *,
        is_answered: bool,
        events: int = 0,
    ) -> None:
        """Record the end of a request; only whole answers tell durations."""
        running = self._running_by_key.pop(key, None)
        if running is None or not is_answered:
            return
        started_at = running.started_at_seconds
        first_at = first_event_at_seconds or started_at
        durations = self._durations_by_kind[running.request.kind]
        oldest_seconds = now_seconds - const.MEMORY_SECONDS
        while durations and durations[0].ended_at_seconds < oldest_seconds:
            durations.popleft()
        durations.append(
            models.Duration(
                now_seconds,
                now_seconds - started_at,
                max(first_at - started_at, 0),
                running.request.tokens,
                events,
            )
        )

    def record_silence(
        self,
        key: collections.abc.Hashable,
        seconds: float,
        now_seconds: float,
    ) -> None:
        """Record that an upstream of a running request was silent."""
        self._silences.append(models.Silence(now_seconds, seconds))
        running = self._running_by_key.get(key)
        if running is not None:
            self._running_by_key[key] = running._replace(
                silent_seconds=running.silent_seconds + seconds
            )

    def silence_limit(
        self,
        key: collections.abc.Hashable,
        usual_seconds: float,
        now_seconds: float,
    ) -> float:
        """Return for how long an upstream of a running request may be silent.

        It is shorter during a stop, if another upstream would otherwise not
        end the request in time, after a silence of its own.
        """
        if not self.is_active:
            return usual_seconds
        running = self._running_by_key.get(key)
        if running is None:
            return usual_seconds
        known = self._current_outlook(running.request, now_seconds).profile
        usual_end = (
            running.started_at_seconds
            + running.silent_seconds
            + estimate.usual_seconds(running.request, known)
        )
        spare_seconds = (
            self.schedule.cut_at_seconds
            - max(usual_end, now_seconds)
            - estimate.replacement_seconds(known)
            - const.UNREPLACED_SILENCE_SECONDS
        )
        return min(max(spare_seconds, const.MIN_SILENCE_SECONDS), usual_seconds)

    def response_limit(
        self, key: collections.abc.Hashable, now_seconds: float
    ) -> float:
        """Return for how long to wait for the first event of a request.

        It is infinity without a stop, since responses come late under load.
        """
        running = self._running_by_key.get(key)
        if not self.is_active or running is None or running.request.runs_once:
            return math.inf
        known = self._current_outlook(running.request, now_seconds).profile
        return max(
            estimate.replacement_seconds(known), const.MIN_SILENCE_SECONDS
        )

    def latest_start(
        self, request: models.Request, now_seconds: float
    ) -> float:
        """Return until when a request may be sent to an upstream.

        It is infinity if the request ends before the stop does, or without a
        stop, and minus infinity if nothing tells how long the request takes.
        The durations of others tell it for requests that came early in the
        stop: a later one may take any time up to its own limits.
        """
        signalled_at = self.signalled_at_seconds
        cut_at = self.schedule.cut_at_seconds
        if signalled_at is None or request.deadline_seconds <= cut_at:
            return math.inf
        outlook = self._current_outlook(request, now_seconds)
        reserve_seconds = min(
            estimate.silence_reserve_seconds(
                request, outlook.profile, outlook.longest_silence_seconds
            ),
            const.MAX_SILENCE_RATIO * (cut_at - signalled_at),
        )
        if self._is_late(request.received_at_seconds):
            limited_seconds = estimate.limited_seconds(
                request, outlook.longest, outlook.overdue
            )
            return cut_at - limited_seconds - reserve_seconds
        needed_seconds = estimate.needed_seconds(
            request, outlook.profile, outlook.overdue
        )
        silenced_seconds = estimate.usual_seconds(request, outlook.silenced)
        return cut_at - max(needed_seconds, silenced_seconds + reserve_seconds)

    def has_room_for(self, request: models.Request, now_seconds: float) -> bool:
        """Return whether a request that is sent now ends in time."""
        return now_seconds <= self.latest_start(request, now_seconds)

    def _is_late(self, at_seconds: float) -> bool:
        """Return whether new connections hardly come here at a time.

        Then a request that is refused for nothing costs less than one that is
        cut.
        """
        signalled_at = self.signalled_at_seconds
        return signalled_at is not None and (
            at_seconds > signalled_at + const.LATE_SECONDS
        )

    def _current_outlook(
        self, request: models.Request, now_seconds: float
    ) -> _Outlook:
        """Return what the requests of a kind told a moment ago."""
        outlook = self._outlook_by_kind.get(request.kind)
        if outlook is None or now_seconds >= outlook.refresh_at_seconds:
            outlook = self._outlook(request, now_seconds)
            self._outlook_by_kind[request.kind] = outlook
        return outlook

    def _outlook(self, request: models.Request, now_seconds: float) -> _Outlook:
        """Return what the requests of a kind tell of the next ones."""
        oldest_seconds = now_seconds - const.MEMORY_SECONDS
        durations = [
            duration
            for duration in self._durations_by_kind[request.kind]
            if duration.ended_at_seconds >= oldest_seconds
        ]
        quantile, silenced_quantile, ignored = 1.0, 1.0, 0
        if not request.runs_once and not self._is_late(now_seconds):
            quantile = const.DURATION_QUANTILE
            silenced_quantile = const.TYPICAL_QUANTILE
            ignored = math.ceil(len(durations) * (1 - quantile))
        profile = estimate.profile(durations, quantile)
        running = [
            other
            for other in self._running_by_key.values()
            if other.request.kind == request.kind
        ]
        return _Outlook(
            profile,
            estimate.profile(durations, silenced_quantile),
            estimate.profile(durations, 1),
            estimate.overdue_ratio(running, profile, now_seconds, ignored),
            max(
                (
                    silence.seconds
                    for silence in self._silences
                    if silence.ended_at_seconds >= oldest_seconds
                ),
                default=0,
            ),
            now_seconds + const.REFRESH_SECONDS,
        )


def _remembered() -> collections.deque[models.Duration]:
    """Return an empty memory of durations."""
    return collections.deque(maxlen=const.REMEMBERED_DURATIONS)
