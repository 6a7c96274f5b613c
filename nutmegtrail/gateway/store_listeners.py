"""Applies what the store says of configuration and upstreams."""

import typing

import anyio

from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import expert_balancer
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import store_watcher
from nutmegtrail.observability import logs
from nutmegtrail.ports import watched_store

GATEWAY_PREFIX: typing.Final = 'nutmegtrail/'


class DocumentDecoder(typing.Protocol):
    """Decodes the platform's documents; raises MalformedDocument."""

    def configuration(self, content: bytes) -> models.Configuration:
        """Return the operators' configuration."""

    def upstream(self, key: str, content: bytes) -> models.Upstream:
        """Return a registration."""

    def upstream_id_of(self, key: str) -> str:
        """Return the identifier in the key of a registration."""


class ConfigurationListener:
    """Takes over each newer configuration; never an older one."""

    def __init__(
        self,
        documents: DocumentDecoder,
        flow: request_handlers.RequestHandler,
        keeper: expert_balancer.ExpertBalancer,
    ) -> None:
        """Keep the collaborators."""
        self._documents = documents
        self._flow = flow
        self._keeper = keeper

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take the configuration of a snapshot."""
        for item in items:
            self.on_change(item)

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Take a configuration over where it is newer."""
        if isinstance(change, watched_store.Removal):
            logs.decision('configuration:removed', key=change.key)
            return
        present = self._flow.configuration
        try:
            read = self._documents.configuration(change.content)
        except errors.MalformedDocument as error:
            logs.decision('configuration:malformed', detail=str(error))
            return
        newer = present is None or read.version > present.version
        logs.decision(
            'configuration:read',
            version=read.version,
            revision=change.revision,
            in_force=newer,
        )
        if newer:
            self._flow.configuration = read
            self._keeper.service = _grouped_service(read)

    def on_store_lost(self) -> None:
        """Keep the present configuration."""

    def on_store_recovered(self) -> None:
        """Wait for what the store reports."""


class UpstreamListener:
    """Keeps the fleet of the dispatcher."""

    def __init__(
        self,
        documents: DocumentDecoder,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Keep the collaborators."""
        self._documents = documents
        self._dispatcher = dispatcher

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take over all registrations."""
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
        """Take over a registration or its removal."""
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
        """Notice an outage of the store."""
        self._decide(fleet.StoreLost())

    def on_store_recovered(self) -> None:
        """Notice the end of an outage."""
        self._decide(fleet.StoreRecovered())

    def _decode(self, item: watched_store.Item) -> models.Upstream | None:
        """Return a registration, None where it can not be used."""
        try:
            return self._documents.upstream(item.key, item.content)
        except errors.MalformedDocument as error:
            logs.decision('upstream:malformed', detail=str(error))
            return None

    def _decide(self, event: fleet.Event) -> None:
        """Let the fleet decide and serve waiting requests."""
        self._dispatcher.known_upstreams = fleet.decide(
            event,
            self._dispatcher.known_upstreams,
            anyio.current_time(),
        )
        self._dispatcher.dispatch_all()


class FanOutListener:
    """Hands the keys of the entries themselves to those that use them."""

    def __init__(self, *listeners: store_watcher.Listener) -> None:
        """Keep the listeners."""
        self._listeners = listeners

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Hand on a snapshot."""
        for listener in self._listeners:
            listener.on_snapshot(items)

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Hand on a change."""
        for listener in self._listeners:
            listener.on_change(change)

    def on_store_lost(self) -> None:
        """Hand on the begin of an outage."""
        for listener in self._listeners:
            listener.on_store_lost()

    def on_store_recovered(self) -> None:
        """Hand on the end of an outage."""
        for listener in self._listeners:
            listener.on_store_recovered()


def _grouped_service(
    configuration: models.Configuration,
) -> models.Service | None:
    """Return the service whose upstreams form rank groups, if any."""
    for service in configuration.services_by_name.values():
        if service.shape is not None:
            return service
    return None
