"""Composition root of the gateway on the platform."""

import random
import typing
import uuid

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.adapters.order_relay import http as order_relay_http
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.expert_balancing import batch_sender
from nutmegtrail.expert_balancing import const as balancing_const
from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.expert_balancing import order_distribution
from nutmegtrail.expert_balancing import pacer
from nutmegtrail.gateway import attempt_runner
from nutmegtrail.gateway import crash_detector
from nutmegtrail.gateway import crash_guard
from nutmegtrail.gateway import crash_quarantine
from nutmegtrail.gateway import daemon
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import limit_prober
from nutmegtrail.gateway import mark_replica
from nutmegtrail.gateway import models as gateway_models
from nutmegtrail.gateway import part_quarantine
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import share_exchange
from nutmegtrail.gateway import signal_recorder
from nutmegtrail.gateway import store_availability
from nutmegtrail.gateway import store_listeners
from nutmegtrail.gateway import store_watcher
from nutmegtrail.host_limits import condition as conditions
from nutmegtrail.host_limits import const as host_limits_const
from nutmegtrail.host_limits import monitor as host_monitoring
from nutmegtrail.observability import metrics
from nutmegtrail.platform import const
from nutmegtrail.platform import documents
from nutmegtrail.platform import engines as platform_engines
from nutmegtrail.platform import headers
from nutmegtrail.platform import store as platform_store
from nutmegtrail.preview import endpoint
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import budgets as retry_budgets
from nutmegtrail.retry_budget import clocks
from nutmegtrail.retry_budget import components as retry_components


class _SharedComponents(typing.NamedTuple):
    """Components that several others depend on."""

    incarnation: str
    availability: store_availability.StoreAvailability
    store: platform_store.PlatformStore
    dispatcher: dispatching.Dispatcher
    metrics_registry: metrics.Metrics
    byte_budget: byte_budgets.ByteBudget


class _CrashProtection(typing.NamedTuple):
    """Components against requests that crash upstreams."""

    quarantine: crash_quarantine.CrashQuarantine
    part_quarantine: part_quarantine.PartQuarantine
    detector: crash_detector.CrashDetector
    mark_replicas: tuple[mark_replica.MarkReplica, ...]


class _ExpertBalancing(typing.NamedTuple):
    """Components that balance expert maps, by this instance and for others."""

    balancer: expert_balancer.ExpertBalancer
    relay_client: order_relay_http.OrderRelayClient
    relay_server: order_relay_http.OrderRelayServer


def create_gateway(configured: settings.GatewaySettings) -> daemon.Gateway:
    """Create a gateway without starting it."""
    shared = _create_shared(configured)
    engines = platform_engines.EngineControlClient(
        signal_recorder.SignalRecorder(shared.dispatcher).record
    )
    protection = _create_crash_protection(configured, shared, engines)
    retry_budget = _create_retry_budget(configured.retries, shared)
    request_handler = _create_request_handler(
        configured,
        shared,
        retry_budget.budgets,
        crash_guard.CrashGuard(
            protection.detector,
            protection.quarantine,
            protection.part_quarantine,
        ),
    )
    evacuations = evacuation_recorder.EvacuationRecorder(
        shared.dispatcher, shared.metrics_registry
    )
    gossip = gossiping.Gossip(
        shared.incarnation,
        gateway_models.Peer(
            models.parse_address(configured.listen.peers),
            configured.process.failure_domain,
        ),
        shared.store,
        shared.dispatcher,
        evacuations,
        retry_budget.volume,
        share_exchange.HostSize(
            configured.host.cores * configured.host.core_share,
            configured.link.megabits_per_second,
        ),
    )
    lease = leader_lease.LeaderLease(
        expert_balancer.LEADER_KEY,
        shared.incarnation,
        shared.store,
        random.Random(),
        gossip.shares.larger_hosts,
    )
    balancing = _create_expert_balancing(
        configured, shared, engines, lease, gossip
    )
    listeners: dict[str, store_watcher.Listener] = {
        const.CONFIGURATION_PREFIX: store_listeners.OperatorListener(
            documents,
            evacuations,
            store_listeners.ConfigurationListener(
                documents,
                request_handler,
                balancing.balancer,
            ),
        ),
        const.UPSTREAM_PREFIX: store_listeners.UpstreamListener(
            documents,
            shared.dispatcher,
            retry_budget.hold_standing,
            _heartbeat_seconds(configured),
        ),
        store_listeners.GATEWAY_PREFIX: store_listeners.FanOutListener(
            gossip,
            lease,
            retry_budget,
            *protection.mark_replicas,
        ),
    }
    return daemon.Gateway(
        configured,
        daemon.Components(
            request_handler,
            shared.dispatcher,
            gossip,
            evacuations,
            _create_watchers(shared, listeners),
            shared.metrics_registry,
            lease,
            balancing.balancer,
            balancing.relay_server,
            protection.mark_replicas,
            protection.detector,
            retry_budget,
            limit_prober.LimitProber(engines, shared.dispatcher),
            host_monitoring.HostMonitor(
                _host_limits(configured.host),
                (request_handler.on_host_limit, gossip.shares.on_host_limit),
                shared.metrics_registry,
            ),
            (engines, balancing.relay_client, shared.store),
            endpoint.PreviewEndpoint(
                request_handler, shared.dispatcher, configured.regions
            ),
            shared.byte_budget,
        ),
    )


def _create_shared(configured: settings.GatewaySettings) -> _SharedComponents:
    """Create the components that several others depend on."""
    availability = store_availability.StoreAvailability()
    return _SharedComponents(
        f'{configured.process.host}/{uuid.uuid4().hex[:8]}',
        availability,
        platform_store.PlatformStore(
            models.parse_address(configured.store.address),
            availability.record_response,
        ),
        dispatching.Dispatcher(
            configured.process.failure_domain, configured.process.host
        ),
        metrics.Metrics(),
        byte_budgets.ByteBudget(
            byte_budgets.limit_of_host(
                _host_limits(configured.host).memory_bytes
            ),
            anyio.current_time,
        ),
    )


def _create_crash_protection(
    configured: settings.GatewaySettings,
    shared: _SharedComponents,
    engines: platform_engines.EngineControlClient,
) -> _CrashProtection:
    """Create the quarantine of crashing requests and the crash detector."""
    quarantine = crash_quarantine.CrashQuarantine(
        shared.store, shared.metrics_registry
    )
    parts = part_quarantine.PartQuarantine(
        shared.store, shared.metrics_registry
    )
    detector = crash_detector.CrashDetector(
        engines,
        shared.dispatcher,
        quarantine,
        parts,
        shared.metrics_registry,
        _heartbeat_seconds(configured),
    )
    return _CrashProtection(
        quarantine, parts, detector, (quarantine.replica, parts.replica)
    )


def _create_expert_balancing(
    configured: settings.GatewaySettings,
    shared: _SharedComponents,
    engines: platform_engines.EngineControlClient,
    lease: leader_lease.LeaderLease,
    gossip: gossiping.Gossip,
) -> _ExpertBalancing:
    """Create the balancer of expert maps and the relay of its orders."""
    order_pacer = _create_pacer(configured.link)
    relay_client = order_relay_http.OrderRelayClient()
    distributor = order_distribution.OrderDistributor(
        relay_client,
        gossip.location,
        gossip.reachable_peers,
        order_pacer,
        gossip.shares.link_weight,
    )
    sender = batch_sender.BatchSender(engines, shared.dispatcher, order_pacer)
    return _ExpertBalancing(
        expert_balancer.ExpertBalancer(
            engines,
            shared.dispatcher,
            lease,
            distributor,
            shared.metrics_registry,
        ),
        relay_client,
        order_relay_http.OrderRelayServer(gossip.location.address, sender.send),
    )


def _heartbeat_seconds(configured: settings.GatewaySettings) -> float:
    """Return the interval at which upstreams renew their registrations."""
    return (
        configured.upstreams.heartbeat_milliseconds
        / shared_const.MILLISECONDS_PER_SECOND
    )


def _host_limits(host: settings.Host) -> conditions.Limits:
    """Return the limits of the host, as far as the settings name them."""
    memory_bytes = None
    if host.memory_megabytes is not None:
        memory_bytes = (
            host.memory_megabytes * host_limits_const.BYTES_PER_MEGABYTE
        )
    return conditions.Limits(memory_bytes, host.descriptors)


def _create_watchers(
    shared: _SharedComponents,
    listener_by_prefix: dict[str, store_watcher.Listener],
) -> tuple[store_watcher.StoreWatcher, ...]:
    """Create the watchers of the store, one for each prefix."""
    for each in listener_by_prefix.values():
        shared.availability.add_listener(each)
    return tuple(
        store_watcher.StoreWatcher(
            shared.store, prefix, listener, shared.availability
        )
        for prefix, listener in listener_by_prefix.items()
    )


def _create_pacer(link: settings.Link) -> pacer.Pacer:
    """Create the rate limiter of orders that carry expert maps."""
    link_bytes_per_second = (
        link.megabits_per_second * shared_const.BYTES_PER_MEGABIT
    )
    return pacer.Pacer(
        link_bytes_per_second * balancing_const.ORDER_BANDWIDTH_RATIO,
        link_bytes_per_second * balancing_const.ORDER_BURST_SECONDS,
    )


def _create_retry_budget(
    retries: settings.Retries, shared: _SharedComponents
) -> retry_components.RetryBudget:
    """Create the retry budget that all entries share."""
    return retry_components.RetryBudget(
        allowances.Allowance(
            retries.window_seconds, retries.share, retries.base
        ),
        shared.store,
        lambda: shared.dispatcher.entries,
        shared.metrics_registry,
        random.random(),
        clocks.of_host(),
    )


def _create_request_handler(
    configured: settings.GatewaySettings,
    shared: _SharedComponents,
    budgets: retry_budgets.RetryBudgets,
    guard: crash_guard.CrashGuard,
) -> request_handlers.RequestHandler:
    """Create the request handler and its attempt runner."""
    header_translator = headers.PlatformHeaderTranslator()
    runner = attempt_runner.AttemptRunner(
        header_translator,
        shared.dispatcher,
        budgets,
        guard,
        shared.metrics_registry,
        shared.byte_budget,
    )
    return request_handlers.RequestHandler(
        header_translator,
        shared.dispatcher,
        runner,
        guard,
        shared.metrics_registry,
        random.Random(),
        configured.regions,
    )
