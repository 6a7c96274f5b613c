"""Connections from an entry to the sidecars, with their pending calls."""

import collections.abc
import functools
import math
import typing

import anyio
import anyio.abc
import anyio.streams.memory

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.peers import client
from nutmegtrail.adapters.peers import connection
from nutmegtrail.byte_budget import budget
from nutmegtrail.byte_budget import errors as budget_errors
from nutmegtrail.byte_budget import models as budget_models
from nutmegtrail.daemons import const
from nutmegtrail.delivery import const as delivery_const
from nutmegtrail.delivery import models as delivery_models
from nutmegtrail.ports import host_list
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

Reply: typing.TypeAlias = (
    models.Head | models.Chunk | models.Refusal | delivery_models.Lost
)
OnHeartbeatAck: typing.TypeAlias = collections.abc.Callable[
    [str, models.HeartbeatAck], None
]


class PendingCall:
    """Queue of the replies to the current attempts of a request.

    There are several if another sidecar is asked beside a silent one. They
    count as lost if their replies have to give way to others: the caller
    takes them too slowly.
    """

    def __init__(
        self, request_id: str, replies: budget.ByteBudget | None = None
    ) -> None:
        """Initialize the queue without an attempt."""
        self._replies = replies or create_reply_budget()
        self._holding = self._replies.open(
            budget_models.Kind.DELIVERY, self._lose
        )
        self.request_id = request_id
        self.addresses_by_attempt: dict[int, shared_models.Address] = {}
        streams = anyio.create_memory_object_stream[Reply](math.inf)
        self._sender = streams[0]
        self._receiver = streams[1]
        self._returned: Reply | None = None

    @property
    def attempt(self) -> int:
        """Return the first of the current attempts, 0 without one."""
        return next(iter(self.addresses_by_attempt), 0)

    @property
    def has_several_attempts(self) -> bool:
        """Return whether several sidecars are asked."""
        return len(self.addresses_by_attempt) > 1

    def put(self, reply: Reply) -> None:
        """Queue a reply to a current attempt; drop replies to earlier ones."""
        if not self._is_current(reply):
            return
        try:
            self._holding.grow(_size_of(reply))
        except budget_errors.GaveWay:
            self._lose()
        else:
            self._sender.send_nowait(reply)

    def put_back(self, reply: Reply) -> None:
        """Let a reply that was taken be the next one."""
        self._returned = reply

    async def get(self) -> Reply:
        """Wait for the next reply and return it."""
        reply = self.get_nowait()
        while reply is None:
            received = await self._receiver.receive()
            self._release(received)
            reply = received if self._is_current(received) else None
        return reply

    def get_nowait(self) -> Reply | None:
        """Return a queued reply, or None if the queue is empty."""
        returned = self._returned
        self._returned = None
        if returned is not None and self._is_current(returned):
            return returned
        while True:
            try:
                reply = self._receiver.receive_nowait()
            except anyio.WouldBlock:
                return None
            self._release(reply)
            if self._is_current(reply):
                return reply

    def begin_attempt(
        self, attempt: int, address: shared_models.Address
    ) -> None:
        """Start an attempt and drop the queued replies to earlier ones."""
        self._clear()
        self.addresses_by_attempt = {attempt: address}

    def add_attempt(self, attempt: int, address: shared_models.Address) -> None:
        """Start an attempt beside the current ones."""
        self.addresses_by_attempt[attempt] = address

    def end_attempt(self, attempt: int) -> bool:
        """Drop an attempt that failed; return False if it is the only one."""
        if not self.has_several_attempts:
            return False
        self.addresses_by_attempt.pop(attempt, None)
        return True

    def fail(self, address: shared_models.Address) -> None:
        """Queue the loss of the attempts at a sidecar."""
        for attempt, used in self.addresses_by_attempt.items():
            if used == address:
                self.put(delivery_models.Lost(attempt))

    def close(self) -> None:
        """Close the queue."""
        self._clear()
        self._holding.close()
        self._sender.close()
        self._receiver.close()

    def _is_current(self, reply: Reply) -> bool:
        """Return whether a reply belongs to a current attempt."""
        if isinstance(reply, delivery_models.Lost) and not reply.attempt:
            return True
        return reply.attempt in self.addresses_by_attempt

    def _lose(self) -> None:
        """Replace the replies by the loss of the attempt."""
        self._clear()
        self.addresses_by_attempt = {}
        self._holding = self._replies.open(
            budget_models.Kind.DELIVERY, self._lose
        )
        self._sender.send_nowait(delivery_models.Lost())

    def _clear(self) -> None:
        """Drop the queued replies."""
        dropped = self.get_nowait()
        while dropped is not None:
            dropped = self.get_nowait()

    def _release(self, reply: Reply) -> None:
        """Stop counting a reply that was taken."""
        if not self._holding.has_given_way:
            self._holding.grow(-_size_of(reply))


class SidecarPool:
    """Connects to sidecars on demand and matches replies to calls."""

    def __init__(
        self,
        on_heartbeat_ack: OnHeartbeatAck,
        tasks: anyio.abc.TaskGroup,
        budgets: connection.Budgets,
    ) -> None:
        """Initialize the pool without connections."""
        self._budgets = budgets
        self._replies = create_reply_budget()
        self._on_heartbeat_ack = on_heartbeat_ack
        self._tasks = tasks
        self._clients_by_address: dict[
            shared_models.Address, client.PeerClient
        ] = {}
        self._pending_by_id: dict[str, PendingCall] = {}

    def open_call(self, request_id: str) -> PendingCall:
        """Register and return a pending call for a request."""
        pending = PendingCall(request_id, self._replies)
        self._pending_by_id[request_id] = pending
        return pending

    def close_call(self, pending: PendingCall) -> None:
        """Remove a pending call; later replies are dropped."""
        self._pending_by_id.pop(pending.request_id, None)
        pending.close()

    async def connect(self, host: host_list.Host) -> None:
        """Connect to a sidecar; raise ConnectionLost on failure."""
        await self._client_for(host).ensure_connected()

    async def send(
        self,
        host: host_list.Host,
        pending: PendingCall,
        message: models.Call | models.Tombstone,
    ) -> None:
        """Send an attempt; raise ConnectionLost if nothing was sent."""
        peer_client = self._client_for(host)
        await peer_client.ensure_connected()
        pending.begin_attempt(message.attempt, host.address)
        peer_client.enqueue(message)

    def send_beside(
        self, host: host_list.Host, pending: PendingCall, call: models.Call
    ) -> None:
        """Send an attempt to a connected sidecar beside the current ones."""
        pending.add_attempt(call.attempt, host.address)
        self._client_for(host).enqueue(call)

    def cancel_call(self, pending: PendingCall) -> None:
        """Tell the sidecars that the caller no longer waits for a request."""
        self._send_cancel(pending, only_queued=False)

    def withdraw_call(self, pending: PendingCall) -> None:
        """Ask the sidecars to refuse a request that they have only queued."""
        self._send_cancel(pending, only_queued=True)

    async def close_unlisted(
        self,
        addresses: collections.abc.Collection[shared_models.Address],
    ) -> None:
        """Close idle connections to sidecars that are not listed."""
        for address in tuple(self._clients_by_address):
            if address not in addresses and not self._is_busy(address):
                await self._clients_by_address.pop(address).close()

    def _send_cancel(self, pending: PendingCall, *, only_queued: bool) -> None:
        """Send a cancellation to the sidecars that are asked."""
        for attempt, address in pending.addresses_by_attempt.items():
            peer_client = self._clients_by_address.get(address)
            if peer_client is not None:
                peer_client.enqueue(
                    models.Cancel(pending.request_id, attempt, only_queued)
                )

    def _client_for(self, host: host_list.Host) -> client.PeerClient:
        """Return the client of a sidecar; create it on first use."""
        existing = self._clients_by_address.get(host.address)
        if existing is not None:
            return existing
        created = client.PeerClient(
            host.address,
            functools.partial(self._receive, host.upstream),
            functools.partial(self._fail_pending_calls, host.address),
            functools.partial(self._is_busy, host.address),
            self._tasks,
            self._budgets,
        )
        self._clients_by_address[host.address] = created
        return created

    def _receive(self, upstream: str, message: models.Message) -> None:
        """Pass a reply to its call, a heartbeat ack to its callback."""
        if isinstance(message, models.HeartbeatAck):
            self._on_heartbeat_ack(upstream, message)
        elif isinstance(message, models.Head | models.Chunk | models.Refusal):
            pending = self._pending_by_id.get(message.request_id)
            if pending is not None:
                pending.put(message)

    def _fail_pending_calls(self, address: shared_models.Address) -> None:
        """Fail the pending calls of a lost connection."""
        for pending in self._pending_by_id.values():
            pending.fail(address)

    def _is_busy(self, address: shared_models.Address) -> bool:
        """Return whether any pending call uses a sidecar."""
        return any(
            address in pending.addresses_by_attempt.values()
            for pending in self._pending_by_id.values()
        )


def create_reply_budget() -> budget.ByteBudget:
    """Return the budget of all replies that wait for their callers."""
    return budget.ByteBudget(const.REPLIES_LIMIT_BYTES)


def _size_of(reply: Reply) -> int:
    """Return how many bytes a queued reply keeps; a loss keeps none."""
    if isinstance(reply, delivery_models.Lost):
        return 0
    if isinstance(reply, models.Chunk):
        return len(reply.payload) + delivery_const.EVENT_OVERHEAD_BYTES
    return delivery_const.EVENT_OVERHEAD_BYTES


def parse_reason(refusal: models.Refusal) -> retry_models.Reason:
    """Return the reason of a refusal.

    An unrecognized reason does not prove that the request was not run, so
    it counts as an unknown outcome.
    """
    try:
        return retry_models.Reason(refusal.reason)
    except ValueError:
        return retry_models.Reason.OUTCOME_UNKNOWN


def to_event(
    reply: models.Refusal | delivery_models.Lost,
) -> delivery_models.Event:
    """Return the delivery event for a failed attempt."""
    if isinstance(reply, delivery_models.Lost):
        return reply
    return delivery_models.Refused(parse_reason(reply), reply.owner)
