"""SIGTERM; streams of kept connections outlast those of the minute before."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2 import harness  # noqa: E402

_KEY = 'n2ctnfzs989anu6wsjnb'
# Streams of the second route may not be resumed.
_PATHS = ('/advice/2f', '/letter/2f')
_SHORT_EVENTS = 6
_LONG_EVENTS = 60
_ROUNDS = 4
_CONNECTIONS = 10
_LONG = 4
# Later than the 3 s up to which the rule excuses what is cut at the end.
_SENT_AFTER_S = 3.2
_HEADERS = {
    'X-Nutmegtrail-Model': 'm',
    'X-Nutmegtrail-Token-Count': '714,400',
    'X-Nutmegtrail-Deadline-Ms': '8050',
}


async def _scenario(record, folder, is_disrupted, closing):
    """Play the case."""
    store = harness.Store(record)
    await store.listen()
    closing.append(store.close)
    expiring = asyncio.create_task(store.expire_leases())
    store.put(
        'op/config',
        harness.configuration(
            3,
            [
                harness.route(
                    name,
                    f'/{name}/',
                    'streaming',
                    'advice-llm',
                    timeout_ms=8000,
                    target_latency_ms=403,
                    gap_aim_ms=120,
                    max_attempts=2,
                    resumable=name == 'advice',
                    sticky=True,
                )
                for name in ('advice', 'letter')
            ],
            ['advice-llm'],
            {'school': [_KEY]},
        ),
    )
    for number in (1, 2, 3):
        engine = harness.StreamEngine(
            f'i-{number}', 'advice-llm', store, record
        )
        await engine.listen()
        closing.append(engine.close)
        engine.register()
    entry = harness.Entry('front-1', store.port, folder, record)
    closing.append(entry.end)
    await entry.start()
    await entry.wait_ready()
    connections = [
        harness.KeptConnection(entry, record) for _ in range(_CONNECTIONS)
    ]
    for connection in connections:
        await connection.open()
    for number in range(_ROUNDS):
        await asyncio.gather(
            *(
                connection.stream(
                    f'{number:08x}{index:08x}',
                    _PATHS[index % 2],
                    _KEY,
                    _SHORT_EVENTS,
                    **_HEADERS,
                )
                for index, connection in enumerate(connections)
            )
        )
        await asyncio.sleep(0.5)
    if is_disrupted:
        entry.send_signal(signal.SIGTERM)
    await asyncio.sleep(_SENT_AFTER_S)
    answers = await asyncio.gather(
        *(
            connection.stream(
                f'ffffffff{index:08x}',
                _PATHS[index % 2],
                _KEY,
                _LONG_EVENTS if index < _LONG else _SHORT_EVENTS,
                **_HEADERS,
            )
            for index, connection in enumerate(connections)
        )
    )
    for connection in connections:
        connection.close()
    expiring.cancel()
    cut = sum(not is_whole for _, is_whole, _ in answers)
    refused = sum(status == 503 for status, _, _ in answers)
    record.write(f'{refused} refused, {cut} cut')
    if not cut:
        return ''
    return f'{cut} streams that were taken after the SIGTERM were cut'


if __name__ == '__main__':
    sys.exit(harness.run_case(_scenario))
