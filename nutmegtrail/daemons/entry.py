"""The entry: takes callers' requests and forwards them to sidecars."""

import functools
import random
import time
import typing

import anyio
import anyio.abc

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import server
from nutmegtrail.adapters.peers import listener
from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import credentials
from nutmegtrail.daemons import admission_control
from nutmegtrail.daemons import configuration_sync
from nutmegtrail.daemons import const
from nutmegtrail.daemons import contract_index
from nutmegtrail.daemons import inbound
from nutmegtrail.daemons import operator_port
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.daemons import request_flow
from nutmegtrail.daemons import sidecar_pool
from nutmegtrail.daemons import upstream_selector
from nutmegtrail.membership import const as membership_const
from nutmegtrail.membership import view as membership_view
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import host_list
from nutmegtrail.ports import key_value
from nutmegtrail.retries import models as retry_models
from nutmegtrail.routing import candidates
from nutmegtrail.wire import models


class Parts(typing.NamedTuple):
    """The running parts of a started entry."""

    mesh: peer_mesh.PeerMesh
    sync: configuration_sync.ConfigurationSync
    control: admission_control.AdmissionControl
    selector: upstream_selector.UpstreamSelector
    pool: sidecar_pool.SidecarPool


class Entry:
    """Serves callers; `start` returns after a stop."""

    def __init__(
        self,
        configured: settings.EntrySettings,
        store: key_value.KeyValueStore,
        hosts: host_list.HostList,
        generator: random.Random,
    ) -> None:
        """Keep the collaborators; nothing runs yet."""
        self.metrics = metrics.Metrics()
        self.draining = False
        self._process = configured.process
        self._store = store
        self._hosts = hosts
        self._generator = generator
        self._stopped = anyio.Event()
        self._open_requests = 0
        self._hosts_known = False
        self._index = contract_index.ContractIndex()
        self._deployment: configuration_models.Deployment | None = None
        self._parts: Parts | None = None

    async def start(self) -> None:
        """Serve until `close` and the end of all requests."""
        peer_address = shared_models.parse_address(self._process.peer_listen)
        async with anyio.create_task_group() as tasks:
            self._parts = self._create_parts(tasks)
            peers = listener.Listener(peer_address, self.receive, _ignore)
            http = server.Server(
                shared_models.parse_address(self._process.http_listen),
                self._serve,
            )
            tasks.start_soon(peers.serve)
            tasks.start_soon(self._poll_hosts)
            tasks.start_soon(self.parts.sync.run_reader)
            tasks.start_soon(self.parts.sync.run_digests)
            tasks.start_soon(http.serve)
            await self._stopped.wait()
            await self._drain()
            await http.close()
            tasks.cancel_scope.cancel()

    def close(self) -> None:
        """Take no new requests and stop when the open ones have ended."""
        logs.decision('entry:draining', host=self._process.host)
        self.draining = True
        self._stopped.set()

    @property
    def parts(self) -> Parts:
        """Return the parts of a started entry."""
        if self._parts is None:
            raise RuntimeError('the entry is not started')
        return self._parts

    def receive(
        self,
        message: models.Message,
        post: peer_mesh.Post,
    ) -> None:
        """Handle a message of another entry."""
        _handle(message, self.parts, post)

    def _create_parts(self, tasks: anyio.abc.TaskGroup) -> Parts:
        """Return the wired parts."""
        host = self._process.host
        mesh = peer_mesh.PeerMesh(
            host,
            self.receive,
            self._generator,
            tasks,
        )
        sync = configuration_sync.ConfigurationSync(
            host,
            self._store,
            mesh,
            self._configuration_changed,
            self._is_reader,
        )
        selector = upstream_selector.UpstreamSelector(
            self._revision,
            self._spread_mark,
        )
        pool = sidecar_pool.SidecarPool(selector.acknowledged, tasks)
        control = admission_control.AdmissionControl(
            host,
            mesh,
            self._index.callers_by_account,
            time.monotonic,
        )
        return Parts(mesh, sync, control, selector, pool)

    def _configuration_changed(
        self,
        document: configuration_models.Document,
    ) -> None:
        """Put a document's contracts or the deployment in force."""
        self._index.put(document)
        if document.name == configuration_const.DEPLOYMENT_NAME:
            stored = documents.parse_stored(
                document.content,
                configuration_models.DeploymentDocument,
            )
            self._deployment = stored.deployment

    def _revision(self) -> int:
        """Return the configuration's revision in force."""
        return self.parts.sync.revision

    def _spread_mark(self, mark: models.CrashMark) -> None:
        """Tell all other entries of a crash."""
        for host in self.parts.mesh.hosts:
            self.parts.mesh.send(host, mark)

    def _is_reader(self) -> bool:
        """Return whether this entry reads for its failure domain."""
        neighbours = [
            host.host
            for host in self.parts.selector.view.entries_by_host.values()
            if host.failure_domain == self._process.failure_domain
        ]
        names = {self._process.host, *neighbours}
        ranked = candidates.rank(self._process.failure_domain, names)
        readers = ranked[: configuration_const.READERS_PER_FAILURE_DOMAIN]
        return self._process.host in readers

    async def _poll_hosts(self) -> None:
        """Follow the host list."""
        while True:
            listed = await self._hosts.hosts()
            if listed.is_ok():
                self._hosts_known = bool(listed.ok)
                selector = self.parts.selector
                selector.view = membership_view.apply_host_list(
                    selector.view,
                    listed.ok,
                )
                self.parts.mesh.follow(
                    membership_view.entry_addresses(selector.view),
                )
                addresses = {host.address for host in listed.ok}
                await self.parts.pool.retain(addresses)
            self.parts.selector.sweep()
            await anyio.sleep(membership_const.POLL_INTERVAL_SECONDS)

    async def _drain(self) -> None:
        """Let the balancer notice, then wait for the open requests."""
        await anyio.sleep(const.DRAIN_GRACE_SECONDS)
        while self._open_requests:
            await anyio.sleep(const.DRAIN_POLL_SECONDS)

    async def _serve(self, exchange: asgi.Exchange) -> None:
        """Serve a caller or an operator."""
        port = operator_port.OperatorPort(
            self._process.operator_token_digest,
            self.metrics,
            self.close,
        )
        known = self.parts.sync.ready and self._hosts_known
        ready = known and not self.draining
        if await port.serve(exchange, ready=ready, status=self._status):
            return
        self._open_requests += 1
        began_at_seconds = time.monotonic()
        try:
            await self._serve_caller(exchange)
        finally:
            self._request_ended(began_at_seconds)

    def _request_ended(self, began_at_seconds: float) -> None:
        """Count the end of a request and its duration."""
        self._open_requests -= 1
        elapsed_seconds = time.monotonic() - began_at_seconds
        self.metrics.observe_seconds('request', elapsed_seconds)

    async def _serve_caller(self, exchange: asgi.Exchange) -> None:
        """Check a request against its contract and deliver it."""
        deployment = self._deployment
        if deployment is None or not self.parts.sync.ready:
            detail = 'no configuration is in force here yet'
            await self._refuse(exchange, retry_models.Reason.NOT_READY, detail)
            return
        caller = credentials.authenticate(
            exchange.header('authorization'),
            self._index.callers_by_digest,
        )
        if caller.is_error():
            detail = str(caller.error)
            unauthorized = retry_models.Reason.UNAUTHORIZED
            await self._refuse(exchange, unauthorized, detail)
            return
        read = await inbound.read(exchange, caller.ok, deployment)
        if read.is_error():
            rejection = read.error
            await self._refuse(exchange, rejection.reason, rejection.detail)
            return
        await self._admit(exchange, read.ok)

    async def _admit(
        self,
        exchange: asgi.Exchange,
        request: inbound.Inbound,
    ) -> None:
        """Deliver a request that is neither quarantined nor over a limit."""
        if self.parts.selector.is_quarantined(request):
            quarantined = retry_models.Reason.QUARANTINED
            detail = 'the request was in flight at several crashes'
            await self._refuse(exchange, quarantined, detail)
            return
        control = self.parts.control
        if not await control.admit(request.caller, request.cost):
            detail = 'the rates of the contract are used up; come back later'
            await self._refuse(exchange, retry_models.Reason.LIMIT, detail)
            return
        account = request.caller.client_account
        control.started(account)
        try:
            await self._deliver(exchange, request)
        finally:
            control.ended(account)

    async def _deliver(
        self,
        exchange: asgi.Exchange,
        request: inbound.Inbound,
    ) -> None:
        """Run the flow of one request."""
        shared = request_flow.Collaborators(
            self.parts.pool,
            self.parts.selector,
            self.metrics,
            self._generator,
        )
        flow = request_flow.RequestFlow(request, exchange, shared)
        await flow.run()

    async def _refuse(
        self,
        exchange: asgi.Exchange,
        reason: retry_models.Reason,
        detail: str,
    ) -> None:
        """Refuse a request of which nothing was sent."""
        self.metrics.increment('refusals', reason.value)
        await request_flow.refuse(
            exchange,
            reason,
            detail,
            '',
            self._generator,
        )

    def _status(self) -> dict[str, object]:
        """Return what an operator is shown."""
        view = self.parts.selector.view
        return {
            'host': self._process.host,
            'revision': self._revision(),
            'digest': self.parts.sync.digest.hex(),
            'open_requests': self._open_requests,
            'entries': sorted(view.entries_by_host),
            'upstreams': sorted(view.sidecars_by_upstream),
            'draining': sorted(view.draining),
        }


def _ignore(_post: peer_mesh.Post) -> None:
    """Leave a lost connection between entries to the next message."""


@functools.singledispatch
def _handle(
    message: models.Message,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Ignore a message that is not for an entry."""


@_handle.register
def _handle_digest(
    message: models.DocumentDigest,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Compare configurations."""
    parts.sync.compare_digest(message, post)


@_handle.register
def _handle_vector(
    message: models.DocumentVector,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Exchange what differs."""
    parts.sync.compare_vector(message, post)


@_handle.register
def _handle_push(
    message: models.DocumentPush,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Take a document over."""
    parts.sync.take(message)


@_handle.register
def _handle_lease_request(
    message: models.LeaseRequest,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Lease from an account owned here."""
    parts.control.lease(message, post)


@_handle.register
def _handle_lease_grant(
    message: models.LeaseGrant,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Take a lease over."""
    parts.control.grant(message)


@_handle.register
def _handle_crash_mark(
    message: models.CrashMark,
    parts: Parts,
    post: peer_mesh.Post,
) -> None:
    """Count a crash that another entry met."""
    parts.selector.mark(message)
