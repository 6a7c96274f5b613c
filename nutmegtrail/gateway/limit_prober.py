"""Questions to upstreams whose limits are too low for requests to tell."""

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_limits
from nutmegtrail.ports import upstream_probe


class LimitProber:
    """Asks the control APIs of upstreams whether they still name a limit.

    The first of the entries that hear each other asks for all of them.
    """

    def __init__(
        self,
        probe: upstream_probe.UpstreamProbe,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Initialize the prober; the probe records what upstreams answer."""
        self._probe = probe
        self._dispatcher = dispatcher

    async def run(self) -> None:
        """Ask upstreams until cancelled."""
        while True:
            await anyio.sleep(const.LIMIT_PROBE_SECONDS)
            for upstream in self._upstreams_to_ask():
                await self._probe.condition(upstream)

    def _upstreams_to_ask(self) -> tuple[models.Upstream, ...]:
        """Return the upstreams that this entry asks now."""
        limiter = self._dispatcher.limiter
        sharing = limiter.sharing
        if sharing.is_complete and sharing.own != sharing.members[0]:
            return ()
        upstreams = self._dispatcher.known_upstreams.upstreams_by_id.values()
        oldest = anyio.current_time() - const.LIMIT_PROBE_SECONDS
        return tuple(
            upstream
            for upstream in upstreams
            if _is_silent(limiter.limits.get(upstream.incarnation), oldest)
        )


def _is_silent(
    limit: request_limits.RequestLimit | None, oldest_seconds: float
) -> bool:
    """Return whether a limited upstream gets too few requests to tell."""
    if limit is None:
        return False
    statement = limit.statement
    return (
        statement.requests_per_second < const.MIN_TELLING_REQUESTS_PER_SECOND
        and statement.received_at_seconds <= oldest_seconds
    )
