"""Counts of requests in flight, sent between entries as datagrams."""

import socket
import typing

import anyio
import anyio.abc
import orjson

from nutmegtrail import models
from nutmegtrail.gateway import const
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import request_counts
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store

REGISTRATION_PREFIX: typing.Final = 'nutmegtrail/entries/'
_MALFORMED: typing.Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)


class Report(typing.NamedTuple):
    """A part of an entry's requests in flight, by upstream."""

    entry: str
    part: int
    counts_by_id: dict[str, int]


class Gossip:
    """Registers the entry, tells the others its counts and takes theirs."""

    def __init__(
        self,
        name: str,
        address: models.Address,
        store: key_value.LeaseStore,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Keep the collaborators; nothing is sent yet."""
        self._name = name
        self._address = address
        self._store = store
        self._dispatcher = dispatcher
        self._address_by_key: dict[str, models.Address] = {}
        self._lease_id = 0

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take over all registered entries."""
        self._address_by_key.clear()
        for item in items:
            self.on_change(item)

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Take over an entry's registration or its removal."""
        if not change.key.startswith(REGISTRATION_PREFIX):
            return
        if isinstance(change, watched_store.Removal):
            self._address_by_key.pop(change.key, None)
        else:
            self._take_address(change)
        self._dispatcher.entries = max(len(self._address_by_key), 1)

    def on_store_lost(self) -> None:
        """Keep the known entries."""

    def on_store_recovered(self) -> None:
        """Wait for what the store reports."""

    async def run(self) -> None:
        """Register, send and receive until cancelled."""
        async with await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=self._address.ip,
            local_port=self._address.port,
        ) as datagrams:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive, datagrams)
                tasks.start_soon(self._send, datagrams)
                tasks.start_soon(self._register)

    async def close(self) -> None:
        """End the registration."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    def _take_address(self, item: watched_store.Item) -> None:
        """Remember the address of an entry."""
        try:
            address = models.parse_address(item.content.decode())
        except ValueError as error:
            logs.decision('entry:malformed', key=item.key, detail=str(error))
            return
        self._address_by_key[item.key] = address

    async def _register(self) -> None:
        """Keep the entry registered under a lease."""
        while True:
            if not await self._renew():
                await self._write()
            await anyio.sleep(const.REGISTRATION_INTERVAL_SECONDS)

    async def _renew(self) -> bool:
        """Return False where the lease has to be granted anew."""
        if not self._lease_id:
            return False
        renewed = await self._store.keep_alive(self._lease_id)
        return renewed.is_error() or renewed.ok

    async def _write(self) -> None:
        """Write the registration under a new lease."""
        granted = await self._store.grant_lease(
            const.REGISTRATION_TTL_SECONDS,
        )
        if granted.is_error():
            logs.decision('entry:not-registered', name=self._name)
            return
        written = await self._store.swap(
            f'{REGISTRATION_PREFIX}{self._name}',
            key_value.ABSENT_REVISION,
            str(self._address).encode(),
            granted.ok,
        )
        registered = written.is_ok()
        logs.decision('entry:registered', name=self._name, done=registered)
        self._lease_id = granted.ok if registered else 0

    async def _send(self, datagrams: anyio.abc.UDPSocket) -> None:
        """Tell the other entries the counts, in short intervals."""
        while True:
            await anyio.sleep(const.GOSSIP_INTERVAL_SECONDS)
            self._dispatcher.dispatch_all()
            payloads = encode(
                self._name,
                dict(self._dispatcher.counts.local_by_id),
            )
            await self._send_to_all(datagrams, payloads)

    async def _send_to_all(
        self,
        datagrams: anyio.abc.UDPSocket,
        payloads: list[bytes],
    ) -> None:
        """Send datagrams to each other entry."""
        others = set(self._address_by_key.values()) - {self._address}
        for address in others:
            for payload in payloads:
                await _send_datagram(datagrams, payload, address)

    async def _receive(self, datagrams: anyio.abc.UDPSocket) -> None:
        """Take the reports of other entries."""
        async for payload, _ in datagrams:
            report = decode(payload)
            if report is not None and report.entry != self._name:
                self._dispatcher.counts = request_counts.record_report(
                    self._dispatcher.counts,
                    f'{report.entry}#{report.part}',
                    report.counts_by_id,
                    anyio.current_time(),
                )


def encode(entry: str, counts_by_id: dict[str, int]) -> list[bytes]:
    """Return datagrams with an entry's counts; none of them is too large."""
    names = sorted(counts_by_id)
    starts = range(0, max(len(names), 1), const.MAX_UPSTREAMS_PER_DATAGRAM)
    return [
        orjson.dumps(
            {
                'entry': entry,
                'part': start,
                'counts': {
                    name: counts_by_id[name]
                    for name in names[
                        start : start + const.MAX_UPSTREAMS_PER_DATAGRAM
                    ]
                },
            },
        )
        for start in starts
    ]


def decode(payload: bytes) -> Report | None:
    """Return a datagram's report, None where it is none."""
    try:
        document = orjson.loads(payload)
        return Report(
            str(document['entry']),
            int(document['part']),
            {
                str(name): int(count)
                for name, count in document['counts'].items()
            },
        )
    except _MALFORMED as error:
        logs.decision('entry:malformed-report', detail=repr(error))
        return None


async def _send_datagram(
    datagrams: anyio.abc.UDPSocket,
    payload: bytes,
    address: models.Address,
) -> None:
    """Send a datagram; one that is lost is followed by the next."""
    try:
        await datagrams.sendto(payload, address.ip, address.port)
    except OSError as error:
        logs.decision('entry:unreachable', detail=str(error))
