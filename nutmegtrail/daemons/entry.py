"""The entry daemon, which forwards callers' requests to sidecars."""

import functools
import random
import time
import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import server
from nutmegtrail.adapters.peers import connection
from nutmegtrail.adapters.peers import listener
from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import credentials
from nutmegtrail.daemons import admission_control
from nutmegtrail.daemons import configuration_sync
from nutmegtrail.daemons import contract_index
from nutmegtrail.daemons import crash_marks
from nutmegtrail.daemons import inbound_request
from nutmegtrail.daemons import operator_api
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.daemons import planned_stop
from nutmegtrail.daemons import request_flow
from nutmegtrail.daemons import sidecar_pool
from nutmegtrail.daemons import upstream_selector
from nutmegtrail.delivery import attempts
from nutmegtrail.membership import const as membership_const
from nutmegtrail.membership import view as membership_view
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import host_list
from nutmegtrail.ports import key_value
from nutmegtrail.retries import const as retry_const
from nutmegtrail.retries import models as retry_models
from nutmegtrail.retry_budget import allowance as allowances
from nutmegtrail.retry_budget import clocks
from nutmegtrail.retry_budget import components as retry_components
from nutmegtrail.routing import candidates
from nutmegtrail.wire import models


class Components(typing.NamedTuple):
    """Components that an entry creates at its start."""

    mesh: peer_mesh.PeerMesh
    sync: configuration_sync.ConfigurationSync
    admission: admission_control.AdmissionControl
    selector: upstream_selector.UpstreamSelector
    pool: sidecar_pool.SidecarPool
    retry_budget: retry_components.RetryBudget


class Entry:
    """Serves callers; `start` returns once the shutdown is complete."""

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        store: key_value.EntryStore,
        hosts: host_list.HostList,
        generator: random.Random,
    ) -> None:
        """Initialize the entry without starting it."""
        self.metrics = metrics.Metrics()
        self._stop = planned_stop.PlannedStop(entry_settings.stop.grace_seconds)
        self._process = entry_settings.process
        self._store = store
        self._crash_marks = crash_marks.CrashMarks(store, self._record_crash)
        self._hosts = hosts
        self._generator = generator
        self._open_requests = 0
        self._has_host_list = False
        self._contract_index = contract_index.ContractIndex()
        self._deployment: configuration_models.Deployment | None = None
        self._components: Components | None = None
        self._http = server.Server(
            shared_models.parse_address(self._process.http_listen),
            self._serve,
        )

    async def start(self) -> None:
        """Serve until `close` is called and the planned stop has ended."""
        peer_address = shared_models.parse_address(self._process.peer_listen)
        async with anyio.create_task_group() as tasks:
            budgets = connection.create_budgets()
            self._components = self._create_components(tasks, budgets)
            peers = listener.Listener(
                peer_address, self.receive, _ignore_disconnect, budgets
            )
            tasks.start_soon(peers.serve)
            tasks.start_soon(self._poll_hosts)
            tasks.start_soon(self._crash_marks.run)
            tasks.start_soon(self.components.retry_budget.run)
            tasks.start_soon(self.components.sync.run_reader)
            tasks.start_soon(self.components.sync.run_digests)
            tasks.start_soon(self._http.serve)
            await self._stop.wait_until_begun()
            await self._drain()
            tasks.cancel_scope.cancel()

    def notice_stop(self, now_seconds: float) -> None:
        """Take only what ends in time; a signal handler may call it."""
        self._stop.notice(now_seconds)
        self._http.stop()

    def close(self) -> None:
        """Begin a planned stop, which takes only what ends in time."""
        logs.decision(
            'entry:draining',
            host=self._process.host,
            open_requests=self._open_requests,
        )
        self._stop.begin()
        self._http.stop()

    @property
    def components(self) -> Components:
        """Return the components of a started entry."""
        if self._components is None:
            raise RuntimeError('the entry is not started; call start first')
        return self._components

    def receive(
        self,
        message: models.Message,
        send_reply: peer_mesh.SendMessage,
    ) -> None:
        """Handle a message from another entry."""
        _handle(message, self.components, send_reply)

    def _create_components(
        self, tasks: anyio.abc.TaskGroup, budgets: connection.Budgets
    ) -> Components:
        """Return the connected components."""
        host = self._process.host
        mesh = peer_mesh.PeerMesh(
            host,
            self.receive,
            self._generator,
            tasks,
            budgets,
        )
        sync = configuration_sync.ConfigurationSync(
            host,
            self._store,
            mesh,
            self._apply_document,
            self._is_reader,
        )
        selector = upstream_selector.UpstreamSelector(
            self._revision,
            self._share_crash_mark,
            self._crash_marks.clear,
        )
        pool = sidecar_pool.SidecarPool(
            selector.record_heartbeat_ack, tasks, budgets
        )
        admission = admission_control.AdmissionControl(
            host,
            mesh,
            self._contract_index.callers_by_account,
            time.monotonic,
        )
        retry_budget = retry_components.RetryBudget(
            allowances.Allowance(
                retry_const.RETRY_WINDOW_SECONDS,
                retry_const.RETRY_RATIO,
                retry_const.RETRY_BURST,
            ),
            self._store,
            lambda: len(mesh.hosts) + 1,
            self.metrics,
            self._generator.random(),
            clocks.of_host(),
        )
        return Components(mesh, sync, admission, selector, pool, retry_budget)

    def _apply_document(
        self,
        document: configuration_models.Document,
    ) -> None:
        """Apply the contracts or the deployment of a changed document."""
        self._contract_index.put(document)
        if document.name == configuration_const.DEPLOYMENT_NAME:
            stored = documents.parse_stored(
                document.content,
                configuration_models.DeploymentDocument,
            )
            self._deployment = stored.deployment

    def _revision(self) -> int:
        """Return the highest configuration revision applied here."""
        return self.components.sync.revision

    def _record_crash(self, crash_mark: models.CrashMark) -> None:
        """Count a crash from before the start of this entry."""
        self.components.selector.record_crash(crash_mark)

    def _share_crash_mark(self, crash_mark: models.CrashMark) -> None:
        """Send a crash mark to all other entries, and store it."""
        self._crash_marks.add(crash_mark)
        for host in self.components.mesh.hosts:
            self.components.mesh.send(host, crash_mark)

    def _is_reader(self) -> bool:
        """Return whether this entry reads the configuration from the service.

        Only the highest-ranked entries of each failure domain read it.
        """
        domain_entries = [
            host.host
            for host in self.components.selector.view.entries_by_host.values()
            if host.failure_domain == self._process.failure_domain
        ]
        names = {self._process.host, *domain_entries}
        ranked = candidates.rank(self._process.failure_domain, names)
        readers = ranked[: configuration_const.READERS_PER_FAILURE_DOMAIN]
        return self._process.host in readers

    async def _poll_hosts(self) -> None:
        """Poll the host list and update peers, upstreams and connections."""
        while True:
            listed = await self._hosts.hosts()
            if listed.is_ok():
                self._has_host_list = bool(listed.ok)
                selector = self.components.selector
                selector.view = membership_view.apply_host_list(
                    selector.view,
                    listed.ok,
                )
                self.components.mesh.update_peers(
                    membership_view.entry_addresses(selector.view),
                )
                addresses = {host.address for host in listed.ok}
                await self.components.pool.close_unlisted(addresses)
            self.components.selector.sweep()
            await anyio.sleep(membership_const.POLL_INTERVAL_SECONDS)

    async def _drain(self) -> None:
        """Wait for the load balancer to notice, then for the open requests."""
        times = self._stop.schedule
        await planned_stop.sleep_until(times.noticed_at_seconds)
        with anyio.move_on_after(times.cut_at_seconds - time.monotonic()):
            await self._http.wait_for_open_requests()
        self._http.close()
        with anyio.move_on_after(times.cut_at_seconds - time.monotonic()):
            await self._http.wait_closed()
        self._http.cut()
        with anyio.move_on_after(times.ended_at_seconds - time.monotonic()):
            await self._http.wait_closed()
        logs.decision(
            'entry:drained',
            host=self._process.host,
            open_requests=self._open_requests,
        )

    async def _serve(self, exchange: exchanges.Exchange) -> None:
        """Serve a caller's or an operator's request."""
        api = operator_api.OperatorApi(
            self._process.operator_token_digest,
            self.metrics,
            self.close,
        )
        is_configured = self.components.sync.is_ready and self._has_host_list
        ready = is_configured and not self._stop.is_active
        if await api.serve(exchange, ready=ready, get_status=self._status):
            return
        self._open_requests += 1
        started_at_seconds = time.monotonic()
        try:
            await self._serve_caller(exchange)
        finally:
            self._request_ended(started_at_seconds)

    def _request_ended(self, started_at_seconds: float) -> None:
        """Record the end of a request and its duration."""
        self._open_requests -= 1
        elapsed_seconds = time.monotonic() - started_at_seconds
        self.metrics.observe_seconds('request', elapsed_seconds)

    async def _serve_caller(self, exchange: exchanges.Exchange) -> None:
        """Authenticate and validate a request, then admit it."""
        deployment = self._deployment
        if deployment is None or not self.components.sync.is_ready:
            detail = 'no configuration is in force here yet'
            await self._refuse(exchange, retry_models.Reason.NOT_READY, detail)
            return
        authentication = credentials.authenticate(
            exchange.header('authorization'),
            self._contract_index.callers_by_digest,
        )
        if authentication.is_error():
            detail = str(authentication.error)
            unauthorized = retry_models.Reason.UNAUTHORIZED
            await self._refuse(exchange, unauthorized, detail)
            return
        read_result = inbound_request.read_request(
            exchange, authentication.ok, deployment
        )
        if read_result.is_error():
            rejection = read_result.error
            await self._refuse(exchange, rejection.reason, rejection.detail)
            return
        await self._admit(exchange, read_result.ok)

    async def _admit(
        self,
        exchange: exchanges.Exchange,
        request: inbound_request.InboundRequest,
    ) -> None:
        """Deliver a request unless it is quarantined or over a limit.

        During a planned stop it must also end in time.
        """
        started_at_seconds = time.monotonic()
        if not self._stop.has_room_for(
            inbound_request.to_drained(request, started_at_seconds)
        ):
            await self._refuse(
                exchange,
                attempts.stop_reason(
                    has_idempotency_key=bool(request.idempotency_key)
                ),
                'this entry stops before the request could end',
            )
            return
        if self.components.selector.is_quarantined(request):
            quarantined = retry_models.Reason.QUARANTINED
            detail = 'the request was in flight at several crashes'
            await self._refuse(exchange, quarantined, detail)
            return
        admission = self.components.admission
        if not await admission.admit(request.caller, request.cost):
            detail = 'the rates of the contract are used up; come back later'
            await self._refuse(exchange, retry_models.Reason.LIMIT, detail)
            return
        account = request.caller.client_account
        admission.record_start(account)
        try:
            await self._deliver(exchange, request)
        finally:
            admission.record_end(account)

    async def _deliver(
        self,
        exchange: exchanges.Exchange,
        request: inbound_request.InboundRequest,
    ) -> None:
        """Run the request flow."""
        dependencies = request_flow.FlowDependencies(
            self.components.pool,
            self.components.selector,
            self.components.retry_budget.budgets,
            self.metrics,
            self._generator,
            self._stop,
        )
        flow = request_flow.RequestFlow(request, exchange, dependencies)
        await flow.run()

    async def _refuse(
        self,
        exchange: exchanges.Exchange,
        reason: retry_models.Reason,
        detail: str,
    ) -> None:
        """Refuse a request before any attempt was sent."""
        self.metrics.increment('refusals', reason.value)
        await request_flow.refuse(
            exchange,
            reason,
            detail,
            '',
            self._generator,
        )

    def _status(self) -> dict[str, object]:
        """Return the status document for operators."""
        view = self.components.selector.view
        return {
            'host': self._process.host,
            'revision': self._revision(),
            'digest': self.components.sync.digest.hex(),
            'open_requests': self._open_requests,
            'entries': sorted(view.entries_by_host),
            'upstreams': sorted(view.sidecars_by_upstream),
            'draining': sorted(view.draining),
        }


def _ignore_disconnect(_post: peer_mesh.SendMessage) -> None:
    """Ignore a lost connection; the next message opens a new one."""


@functools.singledispatch
def _handle(
    message: models.Message,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Ignore a message that entries do not handle."""


@_handle.register
def _handle_digest(
    message: models.DocumentDigest,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Compare a configuration digest with the local one."""
    components.sync.handle_digest(message, send_reply)


@_handle.register
def _handle_vector(
    message: models.DocumentVector,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Exchange the documents whose revisions differ."""
    components.sync.handle_vector(message, send_reply)


@_handle.register
def _handle_push(
    message: models.DocumentPush,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Apply a pushed document."""
    components.sync.handle_push(message)


@_handle.register
def _handle_lease_request(
    message: models.LeaseRequest,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Grant a lease on an account that this entry owns."""
    components.admission.handle_lease_request(message, send_reply)


@_handle.register
def _handle_lease_grant(
    message: models.LeaseGrant,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Add a granted lease."""
    components.admission.handle_lease_grant(message)


@_handle.register
def _handle_crash_mark(
    message: models.CrashMark,
    components: Components,
    send_reply: peer_mesh.SendMessage,
) -> None:
    """Count a crash that another entry observed."""
    components.selector.record_crash(message)
