"""The entry that calls upstreams directly."""

import http
import signal
import typing

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import expert_balancer
from nutmegtrail.gateway import gossip as gossiping
from nutmegtrail.gateway import leader_lease
from nutmegtrail.gateway import request_handler as request_handlers
from nutmegtrail.gateway import settings
from nutmegtrail.gateway import store_watcher
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics

# In force until the first configuration is read.
_FIRST_LIMITS: typing.Final = server.ConnectionLimits(
    messages.SizeLimits(16_384, 4_194_304),
    header_timeout_seconds=3.0,
    idle_timeout_seconds=15.0,
)
_TEXT: typing.Final[messages.Headers] = (
    (b'content-type', b'text/plain; charset=utf-8'),
)


Task: typing.TypeAlias = typing.Callable[
    [],
    typing.Coroutine[typing.Any, typing.Any, None],
]


class Closeable(typing.Protocol):
    """Holds connections until it is closed."""

    async def close(self) -> None:
        """Close the connections."""


class Components(typing.NamedTuple):
    """Collaborators of the entry, wired by the composition root."""

    request_handler: request_handlers.RequestHandler
    dispatcher: dispatching.Dispatcher
    gossip: gossiping.Gossip
    followers: tuple[store_watcher.StoreWatcher, ...]
    metrics_registry: metrics.Metrics
    lease: leader_lease.LeaderLease
    keeper: expert_balancer.ExpertBalancer
    clients: tuple[Closeable, ...]


class Gateway:
    """Serves callers, readiness probes and metrics."""

    def __init__(
        self,
        configured: settings.GatewaySettings,
        parts: Components,
    ) -> None:
        """Keep the parts; nothing listens yet."""
        self._configured = configured
        self._parts = parts
        self._stopping = anyio.Event()
        listen = configured.listen
        self._callers = self._server(
            listen.callers, parts.request_handler.serve
        )
        self._readiness = self._server(listen.readiness, self._serve_readiness)
        self._metrics = self._server(listen.metrics, self._serve_metrics)

    async def start(self) -> None:
        """Run until `close` and the end of what is under way."""
        logs.decision(
            'daemon:started',
            host=self._configured.process.host,
            failure_domain=self._configured.process.failure_domain,
        )
        async with anyio.create_task_group() as tasks:
            for run in self._background():
                tasks.start_soon(supervise, run)
            async with anyio.create_task_group() as callers:
                callers.start_soon(self._callers.serve)
                await self._stopping.wait()
                await self._drain(callers)
            tasks.cancel_scope.cancel()
        await self._parts.lease.resign()
        await self._parts.gossip.close()
        await self._parts.request_handler.close()
        for client in self._parts.clients:
            await client.close()
        logs.decision('daemon:stopped', host=self._configured.process.host)

    def _background(self) -> tuple[Task, ...]:
        """Return what runs beside the callers' server until the end."""
        parts = self._parts
        runs: list[Task] = [follower.run for follower in parts.followers]
        runs.extend((parts.gossip.run, parts.lease.run, parts.keeper.run))
        runs.extend((self._metrics.serve, self._readiness.serve))
        return tuple(runs)

    def close(self) -> None:
        """Begin the planned stop."""
        self._stopping.set()

    async def _drain(self, callers: anyio.abc.TaskGroup) -> None:
        """Leave the balancer, then end connections and listen no more."""
        logs.decision(
            'daemon:draining',
            waiting=self._parts.dispatcher.waiting_count,
        )
        self._callers.stop()
        await anyio.sleep(const.DRAIN_SECONDS)
        self._callers.close()
        left = self._configured.stop.grace_seconds - const.DRAIN_SECONDS
        callers.cancel_scope.deadline = (
            anyio.current_time() + left - const.STOP_MARGIN_SECONDS
        )

    async def _serve_readiness(self, exchange: server.Exchange) -> None:
        """Answer whether new connections should come."""
        ready = (
            self._parts.request_handler.configuration is not None
            and not self._stopping.is_set()
        )
        status = (
            http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        )
        await exchange.answer(status, (), b'')

    async def _serve_metrics(self, exchange: server.Exchange) -> None:
        """Answer with all readings."""
        payload = self._parts.metrics_registry.render().encode()
        await exchange.answer(http.HTTPStatus.OK, _TEXT, payload)

    def _server(self, address: str, handler: server.Handler) -> server.Server:
        """Return a server on an address of the settings."""
        return server.Server(
            models.parse_address(address),
            handler,
            self._limits,
        )

    def _limits(self) -> server.ConnectionLimits:
        """Return the limits of the configuration in force."""
        configuration = self._parts.request_handler.configuration
        if configuration is None:
            return _FIRST_LIMITS
        limits = configuration.limits
        return server.ConnectionLimits(
            messages.SizeLimits(limits.header_bytes, limits.body_bytes),
            limits.header_timeout_seconds,
            limits.idle_timeout_seconds,
        )


async def supervise(run: Task) -> None:
    """Run a task that serves no caller, and again after a fault in it."""
    while True:
        try:
            await run()
        except Exception:
            logs.failure('daemon:task-failed', task=str(run))
        await anyio.sleep(const.TASK_RETRY_SECONDS)


async def run(daemon: Gateway) -> None:
    """Run until a signal stops the entry; a reload keeps it running."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, daemon)
        await daemon.start()
        tasks.cancel_scope.cancel()


async def _watch_signals(daemon: Gateway) -> None:
    """Begin the planned stop at SIGTERM; log a notice of new settings."""
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as received:
        async for number in received:
            logs.decision('daemon:signal', signal=number.name)
            if number is not signal.SIGHUP:
                daemon.close()
