"""Composition root of the entry on the platform."""

from nutmegtrail import models
from nutmegtrail.gateway import daemon
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import flow as flows
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import membership_listener
from nutmegtrail.gateway import retry_budget
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import store_follower
from nutmegtrail.observability import metrics
from nutmegtrail.platform import const
from nutmegtrail.platform import documents
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
    gossip = gossiping.Gossip(
        configured.process.host,
        models.parse_address(configured.listen.peers),
        store,
        dispatcher,
    )
    listeners: dict[str, store_follower.Listener] = {
        const.CONFIGURATION_PREFIX: membership_listener.ConfigurationListener(
            documents,
            flow,
        ),
        const.UPSTREAM_PREFIX: membership_listener.UpstreamListener(
            documents,
            dispatcher,
        ),
        gossiping.PREFIX: gossip,
    }
    followers = tuple(
        store_follower.StoreFollower(store, prefix, listener)
        for prefix, listener in listeners.items()
    )
    return daemon.Gateway(
        configured,
        daemon.Parts(flow, dispatcher, gossip, followers, readings),
    )
