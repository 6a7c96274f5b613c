"""The sidecar: the only way to one upstream."""

import functools
import random
import time

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.adapters.http import server
from nutmegtrail.adapters.peers import listener
from nutmegtrail.configuration import settings
from nutmegtrail.daemons import const
from nutmegtrail.daemons import lease_keeper
from nutmegtrail.daemons import map_driver
from nutmegtrail.daemons import map_proposer
from nutmegtrail.daemons import operator_port
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.daemons import shard_driver
from nutmegtrail.daemons import sidecar_calls
from nutmegtrail.delivery import const as delivery_const
from nutmegtrail.delivery import responses
from nutmegtrail.idempotency import models as idempotency_models
from nutmegtrail.membership import const as membership_const
from nutmegtrail.membership import view as membership_view
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import host_list
from nutmegtrail.ports import key_value
from nutmegtrail.ports import rank_engine
from nutmegtrail.ports import upstream as upstream_port
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models


class Sidecar:
    """Serves the entries; `start` returns after a stop."""

    def __init__(
        self,
        configured: settings.SidecarSettings,
        owner: idempotency_models.Owner,
        store: key_value.KeyValueStore,
        upstream: upstream_port.Upstream,
        probe: upstream_port.Probe,
        hosts: host_list.HostList,
        engine: rank_engine.RankEngine | None,
    ) -> None:
        """Keep the collaborators; nothing runs yet."""
        self.metrics = metrics.Metrics()
        self.draining = False
        self.healthy = True
        self._configured = configured
        self._owner = owner
        self._store = store
        self._upstream = upstream
        self._probe = probe
        self._hosts = hosts
        self._engine = engine
        self._driver: map_driver.MapDriver | None = None
        self._lease = lease_keeper.LeaseKeeper(owner, store)
        self._stopped = anyio.Event()
        self._calls: sidecar_calls.Calls | None = None

    async def start(self) -> None:
        """Serve until `close` and the end of all that runs."""
        process = self._configured.process
        async with anyio.create_task_group() as tasks:
            self._calls = self._create_calls(tasks)
            peers = listener.Listener(
                shared_models.parse_address(process.peer_listen),
                self._receive,
                self._calls.connection_lost,
            )
            http = server.Server(
                shared_models.parse_address(process.http_listen),
                self._serve_operator,
            )
            tasks.start_soon(peers.serve)
            tasks.start_soon(http.serve)
            tasks.start_soon(self._watch_upstream)
            tasks.start_soon(self._sweep)
            if self._calls.shards is not None:
                tasks.start_soon(self._lease.run, self._on_lapsed)
            if self._engine is not None:
                self._start_group(self._engine, tasks)
            await self._stopped.wait()
            await self._drain(self._calls)
            await http.close()
            tasks.cancel_scope.cancel()

    def close(self) -> None:
        """Take no new work and stop when all that runs has ended."""
        logs.decision('sidecar:draining', upstream=self._owner.upstream)
        self.draining = True
        self._stopped.set()

    def refusal(self) -> retry_models.Reason | None:
        """Return why no new call is taken, None if one is."""
        if self.draining:
            return retry_models.Reason.DRAINING
        if not self.healthy:
            return retry_models.Reason.UNREACHABLE
        return None

    @property
    def calls(self) -> sidecar_calls.Calls:
        """Return the calls of a started sidecar."""
        if self._calls is None:
            raise RuntimeError('the sidecar is not started')
        return self._calls

    def _create_calls(
        self,
        tasks: anyio.abc.TaskGroup,
    ) -> sidecar_calls.Calls:
        """Return the calls, with shards beside a plain service."""
        upstream = self._configured.upstream
        calls = sidecar_calls.Calls(
            upstream.name,
            upstream.concurrency,
            self._upstream,
            self.metrics,
            tasks,
        )
        if upstream.kind == 'plain-service':
            calls.shards = shard_driver.ShardDriver(
                upstream.target,
                self._owner,
                self._store,
                self._lease,
                shard_driver.Outlet(
                    calls.run_claimed,
                    calls.answer_claimed,
                    calls.refuse_claimed,
                ),
                tasks,
            )
        return calls

    def _start_group(
        self,
        engine: rank_engine.RankEngine,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Join the engine's rank group."""
        upstream = self._configured.upstream
        generator = random.Random(self._owner.incarnation)
        mesh = peer_mesh.PeerMesh(
            upstream.name,
            self._receive,
            generator,
            tasks,
        )
        place = map_driver.Place(
            upstream.group,
            self._owner,
            upstream.group_size,
            upstream.checks_fencing,
        )
        driver = map_driver.MapDriver(place, engine, mesh, generator, tasks)
        proposer = map_proposer.MapProposer(
            driver,
            engine,
            self._store,
            self.metrics,
        )
        self._driver = driver
        tasks.start_soon(self._follow_group, mesh)
        tasks.start_soon(driver.run)
        tasks.start_soon(proposer.run)

    async def _follow_group(self, mesh: peer_mesh.PeerMesh) -> None:
        """Follow the group's sidecars on the host list."""
        group = self._configured.upstream.group
        while True:
            listed = await self._hosts.hosts()
            if listed.is_ok():
                mesh.follow(membership_view.group_addresses(listed.ok, group))
            await anyio.sleep(membership_const.POLL_INTERVAL_SECONDS)

    def _receive(
        self, message: models.Message, post: responses.SendMessage
    ) -> None:
        """Handle a message of an entry or of the group."""
        if self._driver is not None:
            self._driver.receive(message)
        _handle(message, self, post)

    def _on_lapsed(self) -> None:
        """Pass a lapse of the lease on to the shards."""
        if self.calls.shards is not None:
            self.calls.shards.lease_lapsed()

    async def _drain(self, calls: sidecar_calls.Calls) -> None:
        """Wait for the calls under way and hand the shards over."""
        await anyio.sleep(const.DRAIN_GRACE_SECONDS)
        while calls.in_flight:
            await anyio.sleep(const.DRAIN_POLL_SECONDS)
        if calls.shards is not None:
            calls.shards.release()
            with anyio.move_on_after(const.DRAIN_GRACE_SECONDS):
                while not calls.shards.settled:
                    await anyio.sleep(const.DRAIN_POLL_SECONDS)
            await self._lease.close()

    async def _watch_upstream(self) -> None:
        """Refuse calls and release the shards while the upstream is down."""
        while True:
            healthy = await self._probe()
            if healthy != self.healthy:
                self._change_health(healthy)
            await anyio.sleep(const.UPSTREAM_PROBE_SECONDS)

    def _change_health(self, healthy: bool) -> None:
        """Follow a change of the upstream's health."""
        self.healthy = healthy
        logs.decision(
            'sidecar:upstream-health',
            upstream=self._owner.upstream,
            healthy=healthy,
        )
        shards = self.calls.shards
        if shards is None:
            return
        if healthy:
            shards.resume()
        else:
            shards.release()

    async def _sweep(self) -> None:
        """Drop old recordings from time to time."""
        while True:
            await anyio.sleep(delivery_const.SWEEP_INTERVAL_SECONDS)
            self.calls.store.sweep(time.monotonic())

    def _status(self) -> dict[str, object]:
        """Return what an operator is shown."""
        return {
            'upstream': self._owner.upstream,
            'healthy': self.healthy,
            'draining': self.draining,
            'open_requests': self.calls.in_flight,
        }

    async def _serve_operator(self, exchange: asgi.Exchange) -> None:
        """Serve health, metrics and the planned stop."""
        self.metrics.set_gauge('in_flight', self.calls.in_flight)
        port = operator_port.OperatorPort(
            self._configured.process.operator_token_digest,
            self.metrics,
            self.close,
        )
        ready = self.refusal() is None
        if not await port.serve(exchange, ready=ready, status=self._status):
            await exchange.respond_json(
                http_const.HTTP_NOT_FOUND,
                {'detail': 'no such path'},
            )


@functools.singledispatch
def _handle(
    message: models.Message,
    sidecar: Sidecar,
    post: responses.SendMessage,
) -> None:
    """Ignore a message that is not for a sidecar."""


@_handle.register
def _handle_call(
    message: models.Call,
    sidecar: Sidecar,
    post: responses.SendMessage,
) -> None:
    """Take a call; an earlier attempt may be picked up while draining."""
    reason = sidecar.refusal()
    known = sidecar.calls.store.get(message.request_id) is not None
    if reason is not None and not known:
        keeps_claims = sidecar.calls.shards is not None
        if sidecar_calls.is_unproved_repeat(message, keeps_claims=keeps_claims):
            reason = retry_models.Reason.OUTCOME_UNKNOWN
        refusal = models.Refusal(
            message.request_id,
            message.attempt,
            reason.value,
            retry_after_ms=0,
        )
        post(refusal)
        return
    sidecar.metrics.increment('calls')
    sidecar.calls.accept(message, post)


@_handle.register
def _handle_tombstone(
    message: models.Tombstone,
    sidecar: Sidecar,
    post: responses.SendMessage,
) -> None:
    """Prove that a request is never run."""
    sidecar.calls.bury(message, post)


@_handle.register
def _handle_cancel(
    message: models.Cancel,
    sidecar: Sidecar,
    post: responses.SendMessage,
) -> None:
    """Stop a call that its caller gave up."""
    sidecar.calls.cancel(message.request_id)


@_handle.register
def _handle_heartbeat(
    message: models.Heartbeat,
    sidecar: Sidecar,
    post: responses.SendMessage,
) -> None:
    """Answer a probe."""
    ack = models.HeartbeatAck(
        message.nonce,
        sidecar.draining,
        sidecar.calls.in_flight,
    )
    post(ack)
