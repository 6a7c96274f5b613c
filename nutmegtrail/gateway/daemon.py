"""Gateway process of an entry."""

import http
import signal
import typing

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.http1 import const as http_const
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.adapters.order_relay import http as order_relay_http
from nutmegtrail.adapters.signals import receiver
from nutmegtrail.byte_budget import budget as byte_budgets
from nutmegtrail.draining import schedule
from nutmegtrail.expert_balancing import expert_balancer
from nutmegtrail.expert_balancing import leader_lease
from nutmegtrail.gateway import const
from nutmegtrail.gateway import crash_detector
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import limit_prober
from nutmegtrail.gateway import mark_replica
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import store_watcher
from nutmegtrail.host_limits import monitor as host_monitoring
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.preview import endpoint
from nutmegtrail.retry_budget import components as retry_components

# Used until the first configuration is read.
_DEFAULT_LIMITS: typing.Final = server.ConnectionLimits(
    messages.SizeLimits(16_384, 4_194_304),
    header_timeout_seconds=3.0,
    idle_timeout_seconds=15.0,
)
_TEXT_HEADERS: typing.Final[messages.Headers] = (
    (b'content-type', b'text/plain; charset=utf-8'),
)


Task: typing.TypeAlias = typing.Callable[
    [],
    typing.Coroutine[typing.Any, typing.Any, None],
]


class Closeable(typing.Protocol):
    """Client whose connections must be closed."""

    async def close(self) -> None:
        """Close all connections."""


class Components(typing.NamedTuple):
    """Components of the gateway, created by the composition root."""

    request_handler: request_handlers.RequestHandler
    dispatcher: dispatching.Dispatcher
    gossip: gossiping.Gossip
    evacuations: evacuation_recorder.EvacuationRecorder
    store_watchers: tuple[store_watcher.StoreWatcher, ...]
    metrics_registry: metrics.Metrics
    lease: leader_lease.LeaderLease
    balancer: expert_balancer.ExpertBalancer
    order_relay_server: order_relay_http.OrderRelayServer
    mark_replicas: tuple[mark_replica.MarkReplica, ...]
    detector: crash_detector.CrashDetector
    retry_budget: retry_components.RetryBudget
    limit_prober: limit_prober.LimitProber
    host_monitor: host_monitoring.HostMonitor
    clients: tuple[Closeable, ...]
    preview: endpoint.PreviewEndpoint
    byte_budget: byte_budgets.ByteBudget


class Gateway:
    """Serves callers, readiness probes and metrics until shutdown."""

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        components: Components,
    ) -> None:
        """Initialize the gateway without listening."""
        self._settings = gateway_settings
        self._components = components
        self._stopping = anyio.Event()
        self._silent_connections = _silent_connections(gateway_settings.host)
        listen = gateway_settings.listen
        self._caller_server = self._server(
            listen.callers, components.request_handler.serve
        )
        self._readiness_server = self._server(
            listen.readiness, self._serve_readiness
        )
        self._metrics_server = self._server(listen.metrics, self._serve_metrics)

    async def start(self) -> None:
        """Run until `close` is called and pending requests have ended."""
        logs.decision(
            'daemon:started',
            host=self._settings.process.host,
            failure_domain=self._settings.process.failure_domain,
        )
        async with anyio.create_task_group() as tasks:
            for task in self._background_tasks():
                tasks.start_soon(supervise, task)
            async with anyio.create_task_group() as callers:
                callers.start_soon(self._caller_server.serve)
                await self._stopping.wait()
                self._components.lease.retire()
                await self._drain(callers, tasks)
            await self._components.balancer.close()
            tasks.cancel_scope.cancel()
        await self._components.lease.resign()
        await self._components.gossip.close()
        await self._components.request_handler.close()
        for client in self._components.clients:
            await client.close()
        logs.decision('daemon:stopped', host=self._settings.process.host)

    def _background_tasks(self) -> tuple[Task, ...]:
        """Return the tasks that run in addition to the callers' server."""
        components = self._components
        background_tasks: list[Task] = [
            watcher.run for watcher in components.store_watchers
        ]
        background_tasks.extend(
            replica.run for replica in components.mark_replicas
        )
        background_tasks.extend(
            (
                components.gossip.run,
                components.lease.run,
                components.balancer.run,
                components.order_relay_server.run,
                components.detector.run,
                components.retry_budget.run,
                components.limit_prober.run,
                components.host_monitor.run,
            )
        )
        background_tasks.extend(
            (self._metrics_server.serve, self._readiness_server.serve)
        )
        return tuple(background_tasks)

    def notice_stop(self, now_seconds: float) -> None:
        """Take only what ends in time; a signal handler may call it."""
        planned = schedule.plan(now_seconds, self._settings.stop.grace_seconds)
        self._components.dispatcher.drain.notice(now_seconds, planned)
        self._caller_server.stop()

    def close(self) -> None:
        """Begin a graceful shutdown, unless it has begun."""
        self.notice_stop(anyio.current_time())
        self._stopping.set()

    async def _drain(
        self, callers: anyio.abc.TaskGroup, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Fail readiness, then stop accepting and close connections.

        Requests that are still running at the end of the grace period are
        given up.
        """
        dispatcher = self._components.dispatcher
        logs.decision(
            'daemon:draining',
            waiting=dispatcher.waiting_count,
            grace_seconds=self._settings.stop.grace_seconds,
        )
        planned = dispatcher.drain.schedule
        dispatcher.drain.announce()
        dispatcher.dispatch_all()
        tasks.start_soon(self._cut, planned.cut_at_seconds)
        await anyio.sleep_until(planned.noticed_at_seconds)
        with anyio.CancelScope(deadline=planned.cut_at_seconds):
            await self._caller_server.wait_for_open_requests()
        self._caller_server.close()
        callers.cancel_scope.deadline = planned.ended_at_seconds

    async def _cut(self, cut_at_seconds: float) -> None:
        """Give up the requests that still run at a time."""
        await anyio.sleep_until(cut_at_seconds)
        logs.decision(
            'daemon:grace-ended',
            requests=self._components.request_handler.cut(),
        )
        self._caller_server.cut()

    async def _serve_readiness(self, exchange: server.Exchange) -> None:
        """Respond whether the entry accepts new connections.

        It does once it has read all that requests depend on.
        """
        components = self._components
        is_ready = not self._stopping.is_set() and all(
            (
                components.request_handler.configuration is not None,
                components.dispatcher.known_upstreams.is_known,
                components.gossip.is_informed,
                components.evacuations.is_known,
                *(replica.is_known for replica in components.mark_replicas),
            )
        )
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if is_ready:
            status = http.HTTPStatus.OK
        await exchange.respond(status, (), b'')

    async def _serve_metrics(self, exchange: server.Exchange) -> None:
        """Respond with all metrics, or with the preview of a request."""
        components = self._components
        if components.preview.matches(exchange.request.target):
            await components.preview.serve(exchange)
            return
        registry = components.metrics_registry
        registry.set_gauge(
            'cold_upstreams', len(components.dispatcher.limiter.cold.by_id)
        )
        registry.set_gauge('share', components.dispatcher.share)
        registry.set_gauge('leader', float(components.lease.fence is not None))
        payload = registry.render().encode()
        await exchange.respond(http.HTTPStatus.OK, _TEXT_HEADERS, payload)

    def _server(self, address: str, handler: server.Handler) -> server.Server:
        """Return a server for an address from the settings."""
        return server.Server(
            models.parse_address(address),
            handler,
            self._limits,
            self._components.byte_budget,
            self._components.request_handler.no_room_headers,
        )

    def _limits(self) -> server.ConnectionLimits:
        """Return the connection limits of the current configuration."""
        configuration = self._components.request_handler.configuration
        if configuration is None:
            return _DEFAULT_LIMITS._replace(
                silent_connections=self._silent_connections
            )
        limits = configuration.limits
        return server.ConnectionLimits(
            messages.SizeLimits(limits.header_bytes, limits.body_bytes),
            limits.header_timeout_seconds,
            limits.idle_timeout_seconds,
            self._silent_connections,
        )


def _silent_connections(host: settings.Host) -> int:
    """Return how many connections of a server may be silent for long."""
    if host.descriptors is None:
        return http_const.SILENT_CONNECTIONS_LIMIT
    return min(
        int(host.descriptors * const.SILENT_CONNECTIONS_RATIO),
        http_const.SILENT_CONNECTIONS_LIMIT,
    )


async def supervise(task: Task) -> None:
    """Run a background task and restart it when it ends or fails."""
    while True:
        try:
            await task()
        except Exception:
            logs.failure('daemon:task-failed', task=str(task))
        await anyio.sleep(const.TASK_RETRY_SECONDS)


async def run(daemon: Gateway) -> None:
    """Run until a signal stops the gateway; SIGHUP does not stop it."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, daemon)
        await daemon.start()
        tasks.cancel_scope.cancel()


async def _watch_signals(daemon: Gateway) -> None:
    """Log signals; begin a graceful shutdown on SIGTERM or SIGINT."""
    with receiver.open_receiver(daemon.notice_stop, signal.SIGHUP) as received:
        async for signal_number in received:
            logs.decision('daemon:signal', signal=signal_number.name)
            if signal_number is not signal.SIGHUP:
                daemon.close()
