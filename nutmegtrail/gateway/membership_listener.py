"""Applies what the store says of configuration and upstreams."""

import typing

import anyio

from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import map_keeper
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import store_follower
from nutmegtrail.observability import logs
from nutmegtrail.ports import watched_store

OWN_PREFIX: typing.Final = 'nutmegtrail/'


class Documents(typing.Protocol):
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
        documents: Documents,
        flow: request_handlers.RequestHandler,
        keeper: map_keeper.MapKeeper,
    ) -> None:
        """Keep the collaborators."""
        self._documents = documents
        self._flow = flow
        self._keeper = keeper

    def listed(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take the configuration of a snapshot."""
        for item in items:
            self.changed(item)

    def changed(
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

    def lost(self) -> None:
        """Keep the present configuration."""

    def regained(self) -> None:
        """Wait for what the store reports."""


class UpstreamListener:
    """Keeps the fleet of the dispatcher."""

    def __init__(
        self,
        documents: Documents,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Keep the collaborators."""
        self._documents = documents
        self._dispatcher = dispatcher

    def listed(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take over all registrations."""
        upstreams = []
        for item in items:
            upstream = self._decode(item)
            if upstream is not None:
                upstreams.append(upstream)
        self._decide(fleet.Listed(tuple(upstreams)))

    def changed(
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

    def lost(self) -> None:
        """Notice an outage of the store."""
        self._decide(fleet.StoreLost())

    def regained(self) -> None:
        """Notice the end of an outage."""
        self._decide(fleet.StoreRegained())

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


class OwnKeysListener:
    """Hands the keys of the entries themselves to those that use them."""

    def __init__(self, *listeners: store_follower.Listener) -> None:
        """Keep the listeners."""
        self._listeners = listeners

    def listed(self, items: tuple[watched_store.Item, ...]) -> None:
        """Hand on a snapshot."""
        for listener in self._listeners:
            listener.listed(items)

    def changed(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Hand on a change."""
        for listener in self._listeners:
            listener.changed(change)

    def lost(self) -> None:
        """Hand on the begin of an outage."""
        for listener in self._listeners:
            listener.lost()

    def regained(self) -> None:
        """Hand on the end of an outage."""
        for listener in self._listeners:
            listener.regained()


def _grouped_service(
    configuration: models.Configuration,
) -> models.Service | None:
    """Return the service whose upstreams form rank groups, if any."""
    for service in configuration.services_by_name.values():
        if service.shape is not None:
            return service
    return None
