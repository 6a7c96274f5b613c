"""Composition root of the entry and the sidecar."""

import random
import typing
import uuid

import anyio
import anyio.abc

from nutmegtrail import models
from nutmegtrail.adapters.host_list import http as host_list_http
from nutmegtrail.adapters.key_value import etcd
from nutmegtrail.adapters.rank_engine import http as rank_engine_http
from nutmegtrail.adapters.signals import receiver
from nutmegtrail.adapters.upstream_http import client
from nutmegtrail.configuration import settings
from nutmegtrail.daemons import entry
from nutmegtrail.daemons import sidecar
from nutmegtrail.idempotency import models as idempotency_models
from nutmegtrail.observability import logs


class Daemon(typing.Protocol):
    """Process that runs until it is closed."""

    async def start(self) -> None:
        """Run until `close` is called and the requests in flight have ended."""

    def notice_stop(self, now_seconds: float) -> None:
        """Take only what ends in time from now on; set attributes only."""

    def close(self) -> None:
        """Start a graceful shutdown."""


def create_store(platform: settings.Platform) -> etcd.EtcdStore:
    """Create the client for the key-value service."""
    return etcd.EtcdStore(models.parse_address(platform.key_value))


def create_host_list(
    platform: settings.Platform,
) -> host_list_http.HttpHostList:
    """Create the client for the host list."""
    return host_list_http.HttpHostList(
        models.parse_address(platform.host_list),
    )


def create_entry(configured: settings.EntrySettings) -> entry.Entry:
    """Create an entry without starting it."""
    return entry.Entry(
        configured,
        create_store(configured.platform),
        create_host_list(configured.platform),
        random.Random(),
    )


def create_sidecar(configured: settings.SidecarSettings) -> sidecar.Sidecar:
    """Create a sidecar with a new incarnation ID without starting it."""
    upstream = configured.upstream
    adapter = client.HttpUpstream(models.parse_address(upstream.address))
    incarnation = f'{upstream.name}/{uuid.uuid4().hex}'
    return sidecar.Sidecar(
        configured,
        idempotency_models.Owner(upstream.name, incarnation),
        create_store(configured.platform),
        adapter,
        adapter.probe,
        create_host_list(configured.platform),
        _create_rank_engine(upstream),
    )


def _create_rank_engine(
    upstream: settings.UpstreamSettings,
) -> rank_engine_http.HttpRankEngine | None:
    """Create the rank engine client, None without a rank address."""
    if upstream.rank_address is None:
        return None
    address = models.parse_address(upstream.rank_address)
    return rank_engine_http.HttpRankEngine(address, upstream.rank)


def run(daemon: Daemon, log_format: str) -> None:
    """Run a daemon until a signal stops it."""
    logs.start(log_format)
    anyio.run(_run_until_signal, daemon)


async def _run_until_signal(daemon: Daemon) -> None:
    """Run a daemon; a second signal cancels the requests in flight."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, daemon, tasks.cancel_scope)
        await daemon.start()
        tasks.cancel_scope.cancel()


async def _watch_signals(
    daemon: Daemon,
    scope: anyio.CancelScope,
) -> None:
    """Shut down gracefully on the first signal, cancel on the second."""
    with receiver.open_receiver(daemon.notice_stop) as signals:
        is_stopping = False
        async for signal_number in signals:
            if is_stopping:
                logs.decision(
                    'daemon:cut-by-operator', signal=signal_number.name
                )
                scope.cancel()
            else:
                daemon.close()
            is_stopping = True
