"""A watch is cut as the registration of a leaving engine is removed."""

import asyncio
import pathlib

from review.stand_ins import deployment as deployments
from review.stand_ins import engines
from review.stand_ins import runner

_ENTRIES = 2
_DEADLINE_MS = 1_510
_WORK_SECONDS = 0.3
_WARM_UP_SECONDS = 2
_WARM_UP_ORDERS = 4
# Each entry gets an order this often.
_INTERVAL_SECONDS = 2.75
# From an order to the cut of the watches, and on to the removal.
_CUT_SECONDS = 0.5
_REMOVAL_SECONDS = 0.05
_DRAIN_SECONDS = deployments.BOUNDS['drain_ms'] / 1_000
# A leaving engine serves a little longer.
_EXIT_SECONDS = _DRAIN_SECONDS + 0.3
_END_SECONDS = 3


async def _scenario(deployment):
    """Return why DRAIN is broken, an empty text if it held."""
    record = deployment.record
    servers = [
        engines.PlainEngine(
            f'garden-{number}',
            'xano55b',
            port,
            deployment.store,
            record,
            _WORK_SECONDS,
            zone,
        )
        for number, (zone, port) in enumerate(
            zip(engines.ZONES, deployments.free_ports(len(engines.ZONES)))
        )
    ]
    await deployment.start(
        deployments.configuration(engines.engine_document()), servers
    )
    await asyncio.sleep(_WARM_UP_SECONDS)
    clients = asyncio.ensure_future(_send_orders(deployment))
    await asyncio.sleep(_WARM_UP_ORDERS * _INTERVAL_SECONDS + _CUT_SECONDS)
    # The engine in the zone of the entries.
    leaving = servers[0]
    if runner.has_trouble():
        cut = deployment.store.cut_watches('servers/')
        record.note(f'{cut} watches of servers/ are cut')
    await asyncio.sleep(_REMOVAL_SECONDS)
    leaving.registration.withdraw()
    removed_at = record.now
    record.note(f'{leaving.engine_id} is removed, which the store accepts')
    await asyncio.sleep(_EXIT_SECONDS)
    leaving.end()
    ended_at = record.now
    record.note(f'{leaving.engine_id} exits')
    await asyncio.sleep(_END_SECONDS)
    clients.cancel()
    await asyncio.sleep(2)
    late = [
        (at - removed_at, request_id)
        for at, request_id in leaving.arrivals
        if at > removed_at + _DRAIN_SECONDS
    ]
    lost = _lost(deployment, {request_id for _, request_id in late})
    record.note(
        f'too late: {late}; not served of these: {lost};'
        f' exit after {ended_at - removed_at:.3f}'
    )
    if late:
        return (
            f'DRAIN: {len(late)} requests reach the engine up to'
            f' {max(late)[0]:.3f} s after its removal;'
            f' {len(lost)} of them are lost as it exits'
        )
    return ''


def _lost(deployment, request_ids):
    """Return those of some requests that were not served."""
    return sorted(
        sent.request_id
        for sent in deployment.sent
        if sent.request_id in request_ids and not sent.is_served
    )


async def _send_orders(deployment):
    """Send an order, which may run once at most, to each entry at intervals."""
    number = 0
    while True:
        for entry in deployment.entries:
            deployment.send(
                number, entry, deployments.ORDER_TARGET, _DEADLINE_MS
            )
            number += 1
        await asyncio.sleep(_INTERVAL_SECONDS)


runner.run(pathlib.Path(__file__).parent, _ENTRIES, _scenario)
