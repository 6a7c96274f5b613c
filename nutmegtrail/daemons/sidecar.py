"""The sidecar daemon, through which all requests reach one upstream."""

import functools
import random
import time

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.adapters.http import server
from nutmegtrail.adapters.peers import connection
from nutmegtrail.adapters.peers import listener
from nutmegtrail.configuration import settings
from nutmegtrail.daemons import const
from nutmegtrail.daemons import map_driver
from nutmegtrail.daemons import map_proposer
from nutmegtrail.daemons import operator_api
from nutmegtrail.daemons import owner_lease
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.daemons import planned_stop
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
    """Serves the entries; `start` returns once the shutdown is complete."""

    def __init__(
        self,
        sidecar_settings: settings.SidecarSettings,
        owner: idempotency_models.Owner,
        store: key_value.KeyValueStore,
        upstream: upstream_port.Upstream,
        probe: upstream_port.Probe,
        hosts: host_list.HostList,
        engine: rank_engine.RankEngine | None,
    ) -> None:
        """Initialize the sidecar without starting it."""
        self.metrics = metrics.Metrics()
        self.healthy = True
        self._settings = sidecar_settings
        self._owner = owner
        self._store = store
        self._upstream = upstream
        self._probe = probe
        self._hosts = hosts
        self._engine = engine
        self._map_driver: map_driver.MapDriver | None = None
        self._lease = owner_lease.OwnerLease(owner, store)
        grace_seconds = sidecar_settings.stop.grace_seconds
        self._reserve_seconds = min(
            const.HANDOVER_SECONDS, grace_seconds * const.MAX_HANDOVER_RATIO
        )
        self._stop = planned_stop.PlannedStop(
            grace_seconds, self._reserve_seconds
        )
        self._executor: sidecar_calls.CallExecutor | None = None

    async def start(self) -> None:
        """Serve until `close` is called and the planned stop has ended."""
        process = self._settings.process
        async with anyio.create_task_group() as tasks:
            self._executor = self._create_executor(tasks)
            budgets = connection.create_budgets()
            peers = listener.Listener(
                shared_models.parse_address(process.peer_listen),
                self._receive,
                self._executor.handle_connection_loss,
                budgets,
            )
            http = server.Server(
                shared_models.parse_address(process.http_listen),
                self._serve_operator,
            )
            tasks.start_soon(peers.serve)
            tasks.start_soon(http.serve)
            tasks.start_soon(self._watch_upstream)
            tasks.start_soon(self._sweep)
            if self._executor.shards is not None:
                tasks.start_soon(self._lease.run, self._handle_lease_lapse)
            if self._engine is not None:
                self._join_group(self._engine, tasks, budgets)
            await self._stop.wait_until_begun()
            await self._drain(self._executor)
            http.close()
            tasks.cancel_scope.cancel()

    def notice_stop(self, now_seconds: float) -> None:
        """Refuse new calls; a signal handler may call it."""
        self._stop.notice(now_seconds)

    def close(self) -> None:
        """Begin a planned stop, in which new calls are refused."""
        logs.decision('sidecar:draining', upstream=self._owner.upstream)
        self._stop.begin()

    @property
    def draining(self) -> bool:
        """Return whether the sidecar stops."""
        return self._stop.is_active

    def refusal_reason(self) -> retry_models.Reason | None:
        """Return why new calls are refused, or None if they are accepted."""
        if self.draining:
            return retry_models.Reason.DRAINING
        if not self.healthy:
            return retry_models.Reason.UNREACHABLE
        return None

    @property
    def executor(self) -> sidecar_calls.CallExecutor:
        """Return the call executor of a started sidecar."""
        if self._executor is None:
            raise RuntimeError('the sidecar is not started; call start first')
        return self._executor

    def _create_executor(
        self,
        tasks: anyio.abc.TaskGroup,
    ) -> sidecar_calls.CallExecutor:
        """Return the call executor, with shards for a plain service."""
        upstream = self._settings.upstream
        executor = sidecar_calls.CallExecutor(
            upstream.name,
            upstream.concurrency,
            self._upstream,
            self.metrics,
            tasks,
        )
        executor.running.drain = self._stop.drain
        if upstream.kind == 'plain-service':
            executor.shards = shard_driver.ShardDriver(
                upstream.target,
                self._owner,
                self._store,
                self._lease,
                shard_driver.ShardCallbacks(
                    executor.run_claimed,
                    executor.respond_claimed,
                    executor.refuse_claimed,
                ),
                tasks,
            )
        return executor

    def _join_group(
        self,
        engine: rank_engine.RankEngine,
        tasks: anyio.abc.TaskGroup,
        budgets: connection.Budgets,
    ) -> None:
        """Start the tasks that coordinate the engine's rank group."""
        upstream = self._settings.upstream
        generator = random.Random(self._owner.incarnation)
        mesh = peer_mesh.PeerMesh(
            upstream.name,
            self._receive,
            generator,
            tasks,
            budgets,
        )
        membership = map_driver.GroupMembership(
            upstream.group,
            self._owner,
            upstream.group_size,
            upstream.checks_fencing,
        )
        driver = map_driver.MapDriver(
            membership, engine, mesh, generator, tasks
        )
        proposer = map_proposer.MapProposer(
            driver,
            engine,
            self._store,
            self.metrics,
        )
        self._map_driver = driver
        tasks.start_soon(self._poll_group_hosts, mesh)
        tasks.start_soon(driver.run)
        tasks.start_soon(proposer.run)

    async def _poll_group_hosts(self, mesh: peer_mesh.PeerMesh) -> None:
        """Poll the host list for the group's sidecars."""
        group = self._settings.upstream.group
        while True:
            listed = await self._hosts.hosts()
            if listed.is_ok():
                mesh.update_peers(
                    membership_view.group_addresses(listed.ok, group)
                )
            await anyio.sleep(membership_const.POLL_INTERVAL_SECONDS)

    def _receive(
        self, message: models.Message, send_reply: responses.SendMessage
    ) -> None:
        """Handle a message from an entry or a member of the group."""
        if self._map_driver is not None:
            self._map_driver.receive(message)
        _handle(message, self, send_reply)

    def _handle_lease_lapse(self) -> None:
        """Tell the shards that the owner's lease has lapsed."""
        if self.executor.shards is not None:
            self.executor.shards.handle_lease_lapse()

    async def _drain(self, executor: sidecar_calls.CallExecutor) -> None:
        """Release the shards and wait for the running calls."""
        if executor.shards is not None:
            executor.shards.release()
        times = self._stop.schedule
        with anyio.move_on_after(times.cut_at_seconds - time.monotonic()):
            await planned_stop.sleep_until(times.noticed_at_seconds)
            while executor.in_flight:
                await anyio.sleep(const.DRAIN_POLL_SECONDS)
        executor.cut()
        if executor.shards is not None:
            await self._hand_over(executor.shards)
        # The last replies leave.
        await anyio.sleep(const.DRAIN_POLL_SECONDS)
        logs.decision(
            'sidecar:drained',
            upstream=self._owner.upstream,
            open_requests=executor.in_flight,
        )

    async def _hand_over(self, shards: shard_driver.ShardDriver) -> None:
        """Let other sidecars acquire the shards."""
        shards.release()
        with anyio.move_on_after(self._reserve_seconds / 2):
            while not shards.is_released:
                await anyio.sleep(const.DRAIN_POLL_SECONDS)
        with anyio.move_on_after(self._reserve_seconds / 2):
            await self._lease.close()

    async def _watch_upstream(self) -> None:
        """Probe the upstream; refuse calls and release shards while down."""
        while True:
            healthy = await self._probe()
            if healthy != self.healthy:
                self._handle_health_change(healthy)
            await anyio.sleep(const.UPSTREAM_PROBE_SECONDS)

    def _handle_health_change(self, healthy: bool) -> None:
        """Release the shards of an unhealthy upstream, or resume them."""
        self.healthy = healthy
        logs.decision(
            'sidecar:upstream-health',
            upstream=self._owner.upstream,
            healthy=healthy,
        )
        shards = self.executor.shards
        if shards is None:
            return
        if healthy and not self.draining:
            shards.resume()
        else:
            shards.release()

    async def _sweep(self) -> None:
        """Drop expired recordings periodically."""
        while True:
            await anyio.sleep(delivery_const.SWEEP_INTERVAL_SECONDS)
            self.executor.store.sweep(time.monotonic())

    def _status(self) -> dict[str, object]:
        """Return the status document for operators."""
        return {
            'upstream': self._owner.upstream,
            'healthy': self.healthy,
            'draining': self.draining,
            'open_requests': self.executor.in_flight,
        }

    async def _serve_operator(self, exchange: exchanges.Exchange) -> None:
        """Serve health checks, metrics and operator requests."""
        self.metrics.set_gauge('in_flight', self.executor.in_flight)
        api = operator_api.OperatorApi(
            self._settings.process.operator_token_digest,
            self.metrics,
            self.close,
        )
        ready = self.refusal_reason() is None
        if not await api.serve(exchange, ready=ready, get_status=self._status):
            await exchange.respond_json(
                http_const.HTTP_NOT_FOUND,
                {'detail': 'no such path'},
            )


@functools.singledispatch
def _handle(
    message: models.Message,
    sidecar: Sidecar,
    send_reply: responses.SendMessage,
) -> None:
    """Ignore a message that sidecars do not handle."""


@_handle.register
def _handle_call(
    message: models.Call,
    sidecar: Sidecar,
    send_reply: responses.SendMessage,
) -> None:
    """Accept or refuse a call.

    A call whose earlier attempt is recorded here is accepted even while the
    sidecar drains.
    """
    reason = sidecar.refusal_reason()
    is_recorded = sidecar.executor.store.get(message.request_id) is not None
    if reason is not None and not is_recorded:
        keeps_claims = sidecar.executor.shards is not None
        if sidecar_calls.may_have_run_before(
            message, keeps_claims=keeps_claims
        ):
            reason = retry_models.Reason.OUTCOME_UNKNOWN
        refusal = models.Refusal(
            message.request_id,
            message.attempt,
            reason.value,
            retry_after_ms=0,
        )
        send_reply(refusal)
        return
    sidecar.metrics.increment('calls')
    sidecar.executor.accept(message, send_reply)


@_handle.register
def _handle_tombstone(
    message: models.Tombstone,
    sidecar: Sidecar,
    send_reply: responses.SendMessage,
) -> None:
    """Place a tombstone for a request."""
    sidecar.executor.place_tombstone(message, send_reply)


@_handle.register
def _handle_cancel(
    message: models.Cancel,
    sidecar: Sidecar,
    send_reply: responses.SendMessage,
) -> None:
    """Cancel a call that its caller no longer waits for."""
    if not message.only_queued:
        sidecar.executor.cancel(message.request_id)
    elif not sidecar.executor.withdraw(message.request_id):
        refusal = models.Refusal(
            message.request_id,
            message.attempt,
            retry_models.Reason.OUTCOME_UNKNOWN.value,
            retry_after_ms=0,
        )
        send_reply(refusal)


@_handle.register
def _handle_heartbeat(
    message: models.Heartbeat,
    sidecar: Sidecar,
    send_reply: responses.SendMessage,
) -> None:
    """Acknowledge a heartbeat with the sidecar's state."""
    ack = models.HeartbeatAck(
        message.nonce,
        sidecar.draining,
        sidecar.executor.in_flight,
    )
    send_reply(ack)
