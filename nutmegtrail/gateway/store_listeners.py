"""Listeners that apply configuration and upstream changes of the store."""

import typing

import anyio

from nutmegtrail.evacuation import domains
from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import store_watcher
from nutmegtrail.observability import logs
from nutmegtrail.ports import watched_store
from nutmegtrail.warmup import sightings

GATEWAY_PREFIX: typing.Final = 'nutmegtrail/'


class DocumentDecoder(typing.Protocol):
    """Decoder of the platform's documents.

    The methods raise MalformedDocument for documents that are invalid.
    """

    def configuration(self, content: bytes) -> models.Configuration:
        """Decode the operators' configuration."""

    def upstream(self, key: str, content: bytes) -> models.Upstream:
        """Decode the registration of an upstream."""

    def upstream_id_of(self, key: str) -> str:
        """Return the upstream identifier contained in a registration key."""

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key takes out of service."""


class ConfigurationListener:
    """Applies configurations that are newer than the current one."""

    def __init__(
        self,
        documents: DocumentDecoder,
        request_handler: request_handlers.RequestHandler,
        balancer: expert_balancer.ExpertBalancer,
    ) -> None:
        """Initialize the listener without a configuration."""
        self._documents = documents
        self._request_handler = request_handler
        self._balancer = balancer

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Apply the configuration of a snapshot."""
        for item in items:
            self.on_change(item)

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Apply a configuration if it is newer than the current one.

        Removed and malformed configurations are logged and otherwise ignored.
        """
        if isinstance(change, watched_store.Removal):
            logs.decision('configuration:removed', key=change.key)
            return
        current = self._request_handler.configuration
        try:
            configuration = self._documents.configuration(change.content)
        except errors.MalformedDocument as error:
            logs.decision('configuration:malformed', detail=str(error))
            return
        is_newer = current is None or configuration.version > current.version
        logs.decision(
            'configuration:read',
            version=configuration.version,
            revision=change.revision,
            in_force=is_newer,
        )
        if is_newer:
            self._request_handler.configuration = configuration
            self._balancer.service = _find_grouped_service(configuration)

    def on_store_lost(self) -> None:
        """Keep the current configuration."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Do nothing; the current configuration arrives with the next read."""

    def on_store_restored(self) -> None:
        """Do nothing; an older version never replaces a newer one."""


class OperatorListener:
    """Applies what operators write: evacuations and configurations."""

    def __init__(
        self,
        documents: DocumentDecoder,
        recorder: evacuation_recorder.EvacuationRecorder,
        configuration_listener: ConfigurationListener,
    ) -> None:
        """Initialize the listener."""
        self._documents = documents
        self._recorder = recorder
        self._configuration_listener = configuration_listener

    def on_listed(self, snapshot: watched_store.Snapshot) -> None:
        """Apply the evacuations of a snapshot, also if there are none."""
        revision_by_domain = {}
        for item in snapshot.items:
            domain = self._documents.evacuated_domain(item.key)
            if domain is not None:
                revision_by_domain[domain] = item.revision
        self._recorder.record(
            domains.SnapshotReceived(
                snapshot.revision, snapshot.era, revision_by_domain
            )
        )

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Apply the configuration of a snapshot."""
        self._configuration_listener.on_snapshot(
            tuple(
                item
                for item in items
                if self._documents.evacuated_domain(item.key) is None
            )
        )

    def on_change(
        self, change: watched_store.Item | watched_store.Removal
    ) -> None:
        """Apply an evacuation, its end or a configuration."""
        domain = self._documents.evacuated_domain(change.key)
        if domain is None:
            self._configuration_listener.on_change(change)
        elif isinstance(change, watched_store.Removal):
            self._recorder.record(domains.TakenBack(domain, change.revision))
        else:
            self._recorder.record(domains.TakenOut(domain, change.revision))

    def on_store_lost(self) -> None:
        """Keep the current configuration and evacuations."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Do nothing; the current state arrives with the next read."""

    def on_store_restored(self) -> None:
        """Do nothing; the era of the next snapshot tells it."""


class UpstreamListener:
    """Applies registrations of upstreams to the dispatcher's fleet."""

    def __init__(
        self,
        documents: DocumentDecoder,
        dispatcher: dispatching.Dispatcher,
        on_service: typing.Callable[[str], None],
        heartbeat_seconds: float,
    ) -> None:
        """Initialize the listener without any registrations.

        `on_service` is called with the service of each registration.
        Upstreams renew them with each heartbeat.
        """
        self._documents = documents
        self._dispatcher = dispatcher
        self._on_service = on_service
        self._heartbeat_seconds = heartbeat_seconds

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Replace the fleet with the registrations of a snapshot."""
        upstreams = []
        for item in items:
            upstream = self._decode(item)
            if upstream is not None:
                upstreams.append(upstream)
        self._decide(fleet.SnapshotReceived(tuple(upstreams)))

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Apply a registration or its removal.

        A malformed registration counts as removed.
        """
        upstream = None
        if isinstance(change, watched_store.Item):
            upstream = self._decode(change)
        if upstream is None:
            upstream_id = self._documents.upstream_id_of(change.key)
            logs.decision(
                'upstream:removed',
                upstream=upstream_id,
                revision=change.revision,
            )
            self._decide(fleet.Removed(upstream_id))
            return
        logs.decision(
            'upstream:registered',
            upstream=upstream.upstream_id,
            service=upstream.service,
            leaving=upstream.leaving,
            revision=change.revision,
        )
        self._decide(fleet.Registered(upstream))

    def on_store_lost(self) -> None:
        """Tell the fleet about the outage of the store."""
        self._decide(fleet.StoreLost())

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Tell the fleet about the end of the outage.

        A registration is written once in each interval, so that the last of
        the silent ones may have begun before the outage.
        """
        shortest_seconds = self._heartbeat_seconds * (
            const.SILENT_HEARTBEATS - 1
        )
        self._decide(
            fleet.StoreRecovered(
                may_have_expired=outage_seconds >= shortest_seconds
            )
        )

    def on_store_restored(self) -> None:
        """Tell the fleet that registrations may be outdated or missing."""
        self._decide(fleet.StoreRestored())

    def on_read_failed(self) -> None:
        """Tell the fleet that registrations cannot be read."""
        self._decide(fleet.ReadFailed())

    def on_read(self) -> None:
        """Tell the fleet that it knows all changes so far."""
        self._decide(fleet.Read())

    def next_read_seconds(self) -> float:
        """Return the time to the next decision that needs a read."""
        due_at = fleet.due_at_seconds(self._dispatcher.known_upstreams)
        return due_at - anyio.current_time()

    def _decode(self, item: watched_store.Item) -> models.Upstream | None:
        """Return the upstream of a registration, None if it is malformed."""
        try:
            upstream = self._documents.upstream(item.key, item.content)
        except errors.MalformedDocument as error:
            logs.decision('upstream:malformed', detail=str(error))
            return None
        self._record_cold(upstream, item.revision)
        self._on_service(upstream.service)
        return upstream

    def _record_cold(self, upstream: models.Upstream, revision: int) -> None:
        """Record how long an upstream stays cold, and tell other entries."""
        registered = sightings.Registered(
            upstream.upstream_id,
            upstream.service,
            upstream.started_at_ms,
            revision,
            upstream.cold_seconds,
        )
        limiter = self._dispatcher.limiter
        if limiter.cold.record(registered, 'registration'):
            limiter.share(upstream.incarnation)

    def _decide(self, event: fleet.Event) -> None:
        """Apply an event to the fleet and dispatch waiting requests."""
        self._dispatcher.known_upstreams = fleet.decide(
            event,
            self._dispatcher.known_upstreams,
            anyio.current_time(),
        )
        self._dispatcher.dispatch_all()


class FanOutListener:
    """Forwards changes of the gateway's own keys to several listeners."""

    def __init__(self, *listeners: store_watcher.Listener) -> None:
        """Initialize the listener with its receivers."""
        self._listeners = listeners

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Forward a snapshot to all listeners."""
        for listener in self._listeners:
            listener.on_snapshot(items)

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Forward a change to all listeners."""
        for listener in self._listeners:
            listener.on_change(change)

    def on_store_lost(self) -> None:
        """Forward the start of an outage to all listeners."""
        for listener in self._listeners:
            listener.on_store_lost()

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Forward the end of an outage to all listeners."""
        for listener in self._listeners:
            listener.on_store_recovered(outage_seconds)

    def on_store_restored(self) -> None:
        """Forward the return of an earlier copy to all listeners."""
        for listener in self._listeners:
            listener.on_store_restored()


def _find_grouped_service(
    configuration: models.Configuration,
) -> models.Service | None:
    """Return the first service whose upstreams form rank groups, if any."""
    for service in configuration.services_by_name.values():
        if service.shape is not None:
            return service
    return None
