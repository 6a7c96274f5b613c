"""Run a stand-in: `python -m nutmegtrail.stand_ins KIND --listen …`."""

import typing

import anyio
import typer

from nutmegtrail import models
from nutmegtrail.adapters.http import server
from nutmegtrail.stand_ins import host_list
from nutmegtrail.stand_ins import key_value
from nutmegtrail.stand_ins import model_engine
from nutmegtrail.stand_ins import plain_service
from nutmegtrail.stand_ins import rank_group

application = typer.Typer(help='Stand-ins of the platform, on loopback.')
Listen = typing.Annotated[str, typer.Option(help='Address as ip:port.')]
Seconds = typing.Annotated[float, typer.Option(help='Duration in seconds.')]


@application.command('key-value')
def run_key_value(listen: Listen) -> None:
    """Run the key-value service."""
    anyio.run(_serve_key_value, listen)


@application.command('model-engine')
def run_model_engine(listen: Listen, token_seconds: Seconds = 0.02) -> None:
    """Run a model engine."""
    engine = model_engine.ModelEngine(token_seconds)
    anyio.run(_serve, listen, engine.serve)


@application.command('plain-service')
def run_plain_service(listen: Listen, call_seconds: Seconds = 0) -> None:
    """Run a plain service."""
    service = plain_service.PlainService(call_seconds)
    anyio.run(_serve, listen, service.serve)


@application.command('host-list')
def run_host_list(listen: Listen, lag_seconds: Seconds = 1) -> None:
    """Run the host list."""
    service = host_list.HostListService(lag_seconds)
    anyio.run(_serve, listen, service.serve)


@application.command('rank-group')
def run_rank_group(
    listen: Listen,
    ranks: int = 4,
    step_seconds: Seconds = 0.01,
    checks_fencing: bool = True,
) -> None:
    """Run a rank group whose ranks execute steps in lockstep."""
    group = rank_group.RankGroup(ranks, step_seconds, checks_fencing)
    anyio.run(_serve_group, listen, group)


async def _serve_group(listen: str, group: rank_group.RankGroup) -> None:
    """Serve the rank API and run the steps."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        await _serve(listen, group.serve)


async def _serve(listen: str, handler: server.Handler) -> None:
    """Serve a handler until the process ends."""
    await server.Server(models.parse_address(listen), handler).serve()


async def _serve_key_value(listen: str) -> None:
    """Serve the key-value service and expire its leases."""
    service = key_value.KeyValueService()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service.expire_leases)
        await _serve(listen, service.serve)


if __name__ == '__main__':
    application()
