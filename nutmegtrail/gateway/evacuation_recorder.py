"""Failure domains out of service, from the store and from other entries."""

import typing

import anyio
import orjson

from nutmegtrail.evacuation import domains
from nutmegtrail.evacuation import messages
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics


class EvacuationRecorder:
    """Keeps which failure domains are out of service, for the dispatcher."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the recorder before anything is known."""
        self.evacuations = domains.Evacuations()
        self._dispatcher = dispatcher
        self._metrics = metrics_registry
        self._must_tell = anyio.Event()
        self._is_used = False
        self._changed_at_seconds: float | None = None
        self._metrics.set_gauge('failure_domains_out_of_service', 0)

    @property
    def is_known(self) -> bool:
        """Return whether the store was read."""
        return self.evacuations.is_known

    async def tell(
        self,
        entry: str,
        send: typing.Callable[[list[bytes]], typing.Awaitable[None]],
    ) -> None:
        """Tell the other entries until cancelled.

        They are told at once when something changes, and again now and then.
        """
        while True:
            with anyio.move_on_after(const.SIGNAL_INTERVAL_SECONDS):
                await self._must_tell.wait()
            self._must_tell = anyio.Event()
            message = self.message(entry)
            if message is not None:
                await send([orjson.dumps(messages.to_document(message))])

    def message(self, entry: str) -> messages.EvacuationMessage | None:
        """Return what the other entries are told.

        It is None as long as no domain was ever out of service.
        """
        if not self._is_used:
            return None
        return messages.create(entry, self.evacuations)

    def record(self, event: domains.Event) -> None:
        """Record what the store said, or that time has passed."""
        self._apply(event)

    def record_message(self, message: messages.EvacuationMessage) -> None:
        """Record what another entry knows.

        One that knows less is told more.
        """
        told = message.told
        is_outdated = told.revision < self.evacuations.revision
        known = frozenset(self.evacuations.revision_by_domain)
        if is_outdated and frozenset(told.revision_by_domain) != known:
            self._is_used = True
            self._must_tell.set()
        self._apply(told, told_by=message.entry)

    def _apply(self, event: domains.Event, told_by: str = '') -> None:
        """Decide on an event and let the dispatcher follow."""
        now = anyio.current_time()
        before = self.evacuations.out_of_service
        self.evacuations = domains.decide(event, self.evacuations, now)
        after = self.evacuations.out_of_service
        if before == after:
            return
        self._log(event, before, told_by, now)
        self._is_used = True
        self._must_tell.set()
        self._metrics.set_gauge('failure_domains_out_of_service', len(after))
        self._dispatcher.known_upstreams = fleet.decide(
            fleet.DomainsOutOfService(after),
            self._dispatcher.known_upstreams,
            now,
        )
        self._dispatcher.dispatch_all()

    def _log(
        self,
        event: domains.Event,
        before: frozenset[str],
        told_by: str,
        now_seconds: float,
    ) -> None:
        """Log a change with its inputs and the age of the previous state."""
        evacuations = self.evacuations
        after = evacuations.out_of_service
        age_seconds = 0.0
        if self._changed_at_seconds is not None:
            age_seconds = now_seconds - self._changed_at_seconds
        self._changed_at_seconds = now_seconds
        logs.decision(
            'evacuation:changed',
            taken_out=sorted(after - before),
            taken_back=sorted(before - after),
            out_of_service=sorted(after),
            awaiting_rewrite=sorted(evacuations.kept_until_by_domain),
            cause=type(event).__name__,
            told_by=told_by,
            revision=evacuations.revision,
            era=evacuations.era,
            previous_state_seconds=round(age_seconds, 3),
        )
