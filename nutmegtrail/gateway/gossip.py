"""Exchange between gateway instances over UDP.

They tell each other their requests in flight and by service, what upstreams say
of themselves in responses, and which failure domains are out of service.
"""

import functools
import math
import socket
import typing

import anyio
import anyio.abc
import orjson

from nutmegtrail import models
from nutmegtrail.evacuation import domains
from nutmegtrail.evacuation import messages as evacuation_messages
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import evacuation_recorder
from nutmegtrail.gateway import models as gateway_models
from nutmegtrail.gateway import request_counts
from nutmegtrail.gateway import request_limits
from nutmegtrail.gateway import share_exchange
from nutmegtrail.gateway import signal_messages
from nutmegtrail.gateway import signal_recorder
from nutmegtrail.gateway import volume_exchange
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store
from nutmegtrail.retry_budget import messages as volume_messages
from nutmegtrail.retry_budget import volume as request_volume

REGISTRATION_PREFIX: typing.Final = 'nutmegtrail/entries/'
_DECODE_ERRORS: typing.Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


class Report(typing.NamedTuple):
    """In-flight requests of a gateway instance, for some of its upstreams.

    `entry` is the name of the instance, `part` the index of the first
    upstream in the datagram. `share` is in the first part only, and in none of
    earlier releases.
    """

    entry: str
    part: int
    counts_by_id: dict[str, int]
    share: share_exchange.ShareReport | None = None


Message: typing.TypeAlias = (
    Report
    | signal_messages.SignalMessage
    | evacuation_messages.EvacuationMessage
    | volume_messages.VolumeMessage
)


class Gossip:
    """Registers this instance and exchanges reports with the other ones."""

    def __init__(
        self,
        name: str,
        location: gateway_models.Peer,
        store: key_value.LeaseStore,
        dispatcher: dispatching.Dispatcher,
        evacuations: evacuation_recorder.EvacuationRecorder,
        volume: request_volume.RequestVolume,
        host_size: share_exchange.HostSize = share_exchange.UNKNOWN_SIZE,
    ) -> None:
        """Initialize the exchange without registering or sending."""
        self.location = location
        self._name = name
        self._address = location.address
        self._store = store
        self._dispatcher = dispatcher
        self.shares = share_exchange.ShareExchange(dispatcher, host_size)
        self._signal_recorder = signal_recorder.SignalRecorder(dispatcher)
        self._evacuations = evacuations
        self._volume = volume
        # The socket does not accept datagrams of two tasks at a time.
        self._sending = anyio.Lock()
        self._peer_by_key: dict[str, gateway_models.Peer] = {}
        self._lease_id = 0
        self._own_revision = key_value.ABSENT_REVISION
        self._must_register = anyio.Event()
        self._registered_until_seconds = float('-inf')
        self._heard_at_by_address: dict[models.Address, float] = {}
        # Instances that have told what they know of upstreams.
        self._informants: set[models.Address] = set()
        self._is_listed = False
        self._wait_until_seconds = float('inf')
        self._has_new_peer = anyio.Event()

    @property
    def is_informed(self) -> bool:
        """Return whether the others have told what they know of upstreams.

        Those that do not answer are not waited for.
        """
        has_waited = anyio.current_time() >= self._wait_until_seconds
        is_told = self._peer_addresses <= self._informants
        return self._is_listed and (has_waited or is_told)

    def reachable_peers(self) -> tuple[gateway_models.Peer, ...]:
        """Return the registered instances that were heard of lately."""
        peer_by_address = {
            peer.address: peer for peer in self._peer_by_key.values()
        }
        return tuple(
            peer_by_address[address]
            for address in _heard_lately(self._heard_at_by_address)
            if address in peer_by_address
        )

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Replace the known instances with those of a snapshot."""
        self._peer_by_key.clear()
        self._own_revision = key_value.ABSENT_REVISION
        for item in items:
            self.on_change(item)
        self._count_entries()
        self._is_listed = True

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Apply the registration of an instance or its removal."""
        if not change.key.startswith(REGISTRATION_PREFIX):
            return
        revision = key_value.ABSENT_REVISION
        if isinstance(change, watched_store.Removal):
            self._peer_by_key.pop(change.key, None)
        else:
            revision = change.revision
            self._add_address(change)
        if change.key == self._own_key:
            self._own_revision = revision
        self._count_entries()

    def on_store_lost(self) -> None:
        """Keep the known instances."""

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Do nothing; the current registrations arrive with the next read."""

    def on_store_restored(self) -> None:
        """Register again, because the earlier copy may lack the key."""
        self._lease_id = 0
        self._must_register.set()

    async def run(self) -> None:
        """Register this instance and exchange reports until cancelled."""
        self._wait_until_seconds = min(
            self._wait_until_seconds,
            anyio.current_time() + const.SIGNAL_WAIT_SECONDS,
        )
        async with await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=self._address.ip,
            local_port=self._address.port,
        ) as datagrams:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive, datagrams)
                tasks.start_soon(self._send, datagrams)
                tasks.start_soon(self._send_changed_signals, datagrams)
                tasks.start_soon(self._send_all_signals, datagrams)
                tasks.start_soon(
                    self._evacuations.tell,
                    self._name,
                    functools.partial(self._send_to_all, datagrams),
                )
                tasks.start_soon(
                    volume_exchange.tell,
                    self._volume,
                    self._name,
                    functools.partial(self._send_to_all, datagrams),
                )
                tasks.start_soon(self._register)

    async def close(self) -> None:
        """Revoke the registration."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    @property
    def _own_key(self) -> str:
        """Return the key of this instance's registration."""
        return f'{REGISTRATION_PREFIX}{self._name}'

    def _count_entries(self) -> None:
        """Count this instance and the other ones, each address once.

        A restarted instance has two registrations until the lease of the
        earlier one expires.
        """
        entries = len(
            {self._address, *self._peer_addresses, *self._heard_at_by_address}
        )
        self._dispatcher.entries = entries
        self.shares.set_entries(entries)

    @property
    def _peer_addresses(self) -> set[models.Address]:
        """Return the addresses of the other registered instances."""
        addresses = {peer.address for peer in self._peer_by_key.values()}
        return addresses - {self._address}

    def _share_limits(self) -> None:
        """Update how the instances share the limits of upstreams.

        An instance whose registration has expired is dropped by the others,
        unless they hear it.
        """
        now = anyio.current_time()
        self._heard_at_by_address = _heard_lately(self._heard_at_by_address)
        heard = set(self._heard_at_by_address)
        is_alone = bool(self._peer_addresses) and not heard
        members = {self._address, *self._peer_addresses, *heard}
        self._dispatcher.limiter.sharing = request_limits.Sharing(
            str(self._address),
            tuple(sorted(map(str, members))),
            is_complete=self._peer_addresses <= heard,
            is_isolated=is_alone and now >= self._registered_until_seconds,
        )

    def _add_address(self, item: watched_store.Item) -> None:
        """Store the address of an instance; malformed ones are ignored."""
        try:
            peer = _decode_registration(item.content)
        except ValueError as error:
            logs.decision('entry:malformed', key=item.key, detail=str(error))
            return
        if item.key not in self._peer_by_key:
            self._has_new_peer.set()
        self._peer_by_key[item.key] = peer

    async def _register(self) -> None:
        """Keep this instance registered under a lease until cancelled."""
        while True:
            self._must_register = anyio.Event()
            if not await self._renew():
                await self._write()
            interval_seconds = const.REGISTRATION_INTERVAL_SECONDS
            if not self._lease_id:
                interval_seconds = const.STORE_RETRY_SECONDS
            with anyio.move_on_after(interval_seconds):
                await self._must_register.wait()

    async def _renew(self) -> bool:
        """Renew the lease; return False if a new one is needed.

        If the store does not respond, the lease may still be valid.
        """
        if not self._lease_id:
            return False
        renewed = await self._store.keep_alive(self._lease_id)
        if renewed.is_ok() and renewed.ok:
            self._registered_until_seconds = _registration_expiry()
        return renewed.is_error() or renewed.ok

    async def _write(self) -> None:
        """Register this instance under a new lease."""
        self._lease_id = 0
        granted = await self._store.grant_lease(
            const.REGISTRATION_TTL_SECONDS,
        )
        if granted.is_error():
            logs.decision('entry:not-registered', name=self._name)
            return
        written = await self._store.swap(
            self._own_key,
            self._own_revision,
            f'{self._address}/{self.location.failure_domain}'.encode(),
            granted.ok,
        )
        registered = written.is_ok()
        logs.decision('entry:registered', name=self._name, done=registered)
        if registered:
            self._registered_until_seconds = _registration_expiry()
        self._lease_id = granted.ok if registered else 0

    async def _send(self, datagrams: anyio.abc.UDPSocket) -> None:
        """Send the counts to the other instances periodically."""
        while True:
            await anyio.sleep(const.GOSSIP_INTERVAL_SECONDS)
            self._share_limits()
            self._evacuations.record(domains.TimeElapsed())
            self._count_entries()
            self.shares.offer_loans()
            self._dispatcher.dispatch_all()
            payloads = encode(
                self._name,
                dict(self._dispatcher.counts.local_by_id),
            )
            for address, payload in _address_reports(
                payloads,
                _audience(self._peer_addresses, self._heard_at_by_address),
                self.shares,
            ):
                async with self._sending:
                    await _send_datagram(datagrams, payload, address)

    async def _send_to_all(
        self,
        datagrams: anyio.abc.UDPSocket,
        payloads: list[bytes],
    ) -> None:
        """Send datagrams to every other instance."""
        for address in _audience(
            self._peer_addresses, self._heard_at_by_address
        ):
            for payload in payloads:
                async with self._sending:
                    await _send_datagram(datagrams, payload, address)

    async def _receive(self, datagrams: anyio.abc.UDPSocket) -> None:
        """Apply the reports of other instances until cancelled."""
        async for payload, sender in datagrams:
            received = decode(payload)
            if received is None or received.entry == self._name:
                continue
            address = models.Address(*sender)
            self._heard_at_by_address[address] = anyio.current_time()
            if isinstance(received, evacuation_messages.EvacuationMessage):
                self._evacuations.record_message(received)
            elif isinstance(received, volume_messages.VolumeMessage):
                self._volume.record_told(
                    received.entry, received.requests_by_service
                )
            elif isinstance(received, Report):
                self.shares.record(str(address), received.share)
                self._dispatcher.counts = request_counts.record_report(
                    self._dispatcher.counts,
                    f'{received.entry}#{received.part}',
                    received.counts_by_id,
                    anyio.current_time(),
                )
            else:
                self._informants.add(address)
                self._signal_recorder.record_message(received, str(address))

    async def _send_changed_signals(
        self, datagrams: anyio.abc.UDPSocket
    ) -> None:
        """Tell the other instances at once what upstreams said."""
        while True:
            changed = await self._dispatcher.limiter.wait_for_changes()
            message = self._signal_recorder.message(self._name, changed)
            await self._send_message(datagrams, message)

    async def _send_all_signals(self, datagrams: anyio.abc.UDPSocket) -> None:
        """Repeat now and then all that upstreams said.

        A new instance is told at once, and waits for it.
        """
        while True:
            with anyio.move_on_after(const.SIGNAL_INTERVAL_SECONDS):
                await self._has_new_peer.wait()
            message = self._signal_recorder.message(self._name)
            if self._has_new_peer.is_set() or not message.is_empty:
                self._has_new_peer = anyio.Event()
                await self._send_message(datagrams, message)

    async def _send_message(
        self,
        datagrams: anyio.abc.UDPSocket,
        message: signal_messages.SignalMessage,
    ) -> None:
        """Send a message to every other instance."""
        payloads = [
            orjson.dumps(signal_messages.to_document(part))
            for part in signal_messages.split(message)
        ]
        await self._send_to_all(datagrams, payloads)


def encode(entry: str, counts_by_id: dict[str, int]) -> list[bytes]:
    """Return the counts as datagrams that are small enough for every link."""
    upstream_ids = sorted(counts_by_id)
    starts = range(
        0, max(len(upstream_ids), 1), const.MAX_UPSTREAMS_PER_DATAGRAM
    )
    return [
        orjson.dumps(
            {
                'entry': entry,
                'part': start,
                'counts': {
                    upstream_id: counts_by_id[upstream_id]
                    for upstream_id in upstream_ids[
                        start : start + const.MAX_UPSTREAMS_PER_DATAGRAM
                    ]
                },
            },
        )
        for start in starts
    ]


def decode(
    payload: bytes,
) -> Message | None:
    """Return the message in a datagram, None if it is malformed."""
    try:
        document = orjson.loads(payload)
        if 'out_of_service' in document:
            return evacuation_messages.from_document(document)
        if 'limits' in document:
            return signal_messages.from_document(document)
        if 'requests' in document:
            return volume_messages.from_document(document)
        return Report(
            str(document['entry']),
            int(document['part']),
            {
                str(upstream_id): int(count)
                for upstream_id, count in document['counts'].items()
            },
            _decode_share(document.get('share')),
        )
    except _DECODE_ERRORS as error:
        logs.decision('entry:malformed-report', detail=repr(error))
        return None


def _address_reports(
    payloads: list[bytes],
    addresses: set[models.Address],
    shares: share_exchange.ShareExchange,
) -> typing.Iterator[tuple[models.Address, bytes]]:
    """Return the reports for other instances, the share in the first part."""
    for address in addresses:
        told = orjson.dumps(tuple(shares.report_to(str(address))))
        yield address, b'%b,"share":%b}' % (payloads[0][:-1], told)
        for payload in payloads[1:]:
            yield address, payload


def _decode_share(
    told: list[float] | None,
) -> share_exchange.ShareReport | None:
    """Return the report of a share; raise ValueError if malformed."""
    if told is None:
        return None
    demand, lent, *size = map(float, told)
    report = share_exchange.ShareReport(demand, lent, *size)
    if not all(math.isfinite(told) and told >= 0 for told in report):
        raise ValueError('share is negative or not finite')
    return report


def _heard_lately(
    heard_at_by_address: dict[models.Address, float],
) -> dict[models.Address, float]:
    """Return the instances that were heard of within the timeout."""
    oldest = anyio.current_time() - const.GOSSIP_TIMEOUT_SECONDS
    return {
        address: heard_at
        for address, heard_at in heard_at_by_address.items()
        if heard_at >= oldest
    }


def _audience(
    registered: set[models.Address],
    heard_at_by_address: dict[models.Address, float],
) -> set[models.Address]:
    """Return the other instances to talk to.

    The registration of one that is heard may have expired in an outage of the
    store.
    """
    return registered | set(_heard_lately(heard_at_by_address))


def _registration_expiry() -> float:
    """Return until when the others know an instance that registers now."""
    return anyio.current_time() + const.REGISTRATION_TTL_SECONDS


def _decode_registration(content: bytes) -> gateway_models.Peer:
    """Return the instance of a registration; raise ValueError if malformed.

    Instances of earlier releases register without their failure domain.
    """
    address, _, failure_domain = content.decode().partition('/')
    return gateway_models.Peer(models.parse_address(address), failure_domain)


async def _send_datagram(
    datagrams: anyio.abc.UDPSocket,
    payload: bytes,
    address: models.Address,
) -> None:
    """Send a datagram; errors are only logged, as the next one follows soon."""
    try:
        await datagrams.sendto(payload, address.ip, address.port)
    except OSError as error:
        logs.decision('entry:unreachable', detail=str(error))
