"""Composition root of the entry on the platform."""

import random
import uuid

from nutmegtrail import models
from nutmegtrail.gateway import daemon
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import flow as flows
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import map_keeper
from nutmegtrail.gateway import membership_listener
from nutmegtrail.gateway import retry_budget
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import store_follower
from nutmegtrail.observability import metrics
from nutmegtrail.platform import const
from nutmegtrail.platform import documents
from nutmegtrail.platform import engines as platform_engines
from nutmegtrail.platform import headers
from nutmegtrail.platform import store as platform_store


def create_gateway(configured: settings.GatewaySettings) -> daemon.Gateway:
    """Return an entry; it is not started."""
    store = platform_store.PlatformStore(
        models.parse_address(configured.store.address),
    )
    readings = metrics.Metrics()
    dispatcher = dispatching.Dispatcher(configured.process.failure_domain)
    allowance = retry_budget.Allowance(
        configured.retries.window_seconds,
        configured.retries.share,
        configured.retries.base,
    )
    flow = flows.Flow(
        headers.PlatformDialect(),
        dispatcher,
        allowance,
        readings,
    )
    incarnation = f'{configured.process.host}/{uuid.uuid4().hex[:8]}'
    gossip = gossiping.Gossip(
        incarnation,
        models.parse_address(configured.listen.peers),
        store,
        dispatcher,
    )
    lease = leader_lease.LeaderLease(
        map_keeper.LEADER_KEY,
        incarnation,
        store,
        random.Random(),
    )
    engines = platform_engines.PlatformEngines()
    keeper = map_keeper.MapKeeper(engines, dispatcher, lease, readings)
    listeners: dict[str, store_follower.Listener] = {
        const.CONFIGURATION_PREFIX: membership_listener.ConfigurationListener(
            documents,
            flow,
            keeper,
        ),
        const.UPSTREAM_PREFIX: membership_listener.UpstreamListener(
            documents,
            dispatcher,
        ),
        membership_listener.OWN_PREFIX: membership_listener.OwnKeysListener(
            gossip,
            lease,
        ),
    }
    followers = tuple(
        store_follower.StoreFollower(store, prefix, listener)
        for prefix, listener in listeners.items()
    )
    return daemon.Gateway(
        configured,
        daemon.Parts(
            flow,
            dispatcher,
            gossip,
            followers,
            readings,
            lease,
            keeper,
        ),
    )
