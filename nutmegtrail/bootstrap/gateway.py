"""Composition root of the gateway on the platform."""

import random
import typing
import uuid

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.gateway import const as gateway_const
from nutmegtrail.gateway import daemon
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import flow as flows
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import map_keeper
from nutmegtrail.gateway import membership_listener
from nutmegtrail.gateway import pacer
from nutmegtrail.gateway import retry_budget
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import store_follower
from nutmegtrail.observability import metrics
from nutmegtrail.platform import const
from nutmegtrail.platform import documents
from nutmegtrail.platform import engines as platform_engines
from nutmegtrail.platform import headers
from nutmegtrail.platform import store as platform_store


class _SharedComponents(typing.NamedTuple):
    """Components that several others depend on."""

    incarnation: str
    store: platform_store.PlatformStore
    dispatcher: dispatching.Dispatcher
    metrics_registry: metrics.Metrics


def create_gateway(configured: settings.GatewaySettings) -> daemon.Gateway:
    """Create a gateway without starting it."""
    shared = _SharedComponents(
        f'{configured.process.host}/{uuid.uuid4().hex[:8]}',
        platform_store.PlatformStore(
            models.parse_address(configured.store.address),
        ),
        dispatching.Dispatcher(configured.process.failure_domain),
        metrics.Metrics(),
    )
    flow = _create_flow(configured, shared)
    gossip = gossiping.Gossip(
        shared.incarnation,
        models.parse_address(configured.listen.peers),
        shared.store,
        shared.dispatcher,
    )
    lease = leader_lease.LeaderLease(
        map_keeper.LEADER_KEY,
        shared.incarnation,
        shared.store,
        random.Random(),
    )
    engines = platform_engines.EngineControlClient()
    keeper = map_keeper.MapKeeper(
        engines,
        shared.dispatcher,
        lease,
        _create_pacer(configured.link),
        shared.metrics_registry,
    )
    listeners: dict[str, store_follower.Listener] = {
        const.CONFIGURATION_PREFIX: membership_listener.ConfigurationListener(
            documents,
            flow,
            keeper,
        ),
        const.UPSTREAM_PREFIX: membership_listener.UpstreamListener(
            documents,
            shared.dispatcher,
        ),
        membership_listener.OWN_PREFIX: membership_listener.OwnKeysListener(
            gossip,
            lease,
        ),
    }
    followers = tuple(
        store_follower.StoreFollower(shared.store, prefix, listener)
        for prefix, listener in listeners.items()
    )
    return daemon.Gateway(
        configured,
        daemon.Parts(
            flow,
            shared.dispatcher,
            gossip,
            followers,
            shared.metrics_registry,
            lease,
            keeper,
            (engines, shared.store),
        ),
    )


def _create_pacer(link: settings.Link) -> pacer.Pacer:
    """Create the rate limiter of orders that carry expert maps."""
    link_bytes_per_second = (
        link.megabits_per_second * shared_const.BYTES_PER_MEGABIT
    )
    return pacer.Pacer(link_bytes_per_second * gateway_const.ORDERS_LINK_SHARE)


def _create_flow(
    configured: settings.GatewaySettings,
    shared: _SharedComponents,
) -> flows.Flow:
    """Create the request flow."""
    allowance = retry_budget.Allowance(
        configured.retries.window_seconds,
        configured.retries.share,
        configured.retries.base,
    )
    return flows.Flow(
        headers.PlatformDialect(),
        shared.dispatcher,
        allowance,
        shared.metrics_registry,
    )
