"""Connections to the store fall silent; an engine drains and exits."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2 import harness  # noqa: E402

_DRAIN_S = 2.0
_STABLE_S = 3.0
# Of the rule's bounds, for the clocks of the case.
_MARGIN_S = 0.1
# An engine serves for a little longer than drain_ms, then it exits.
_LINGER_S = 2.5
_WATCHED_S = 9.0
_KEY = 'n2ctnfzs989anu6wsjnb'
_INTERVAL_S = 0.04


async def _send_until(client, entries, until, record):
    """Send unsafe requests at a steady rate."""
    tasks = []
    while record.now() < until:
        entry = entries[len(tasks) % len(entries)]
        tasks.append(
            asyncio.create_task(
                client.send(entry, '/orders/1', _KEY, body=b'one tank')
            )
        )
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*tasks)


async def _scenario(record, folder, is_disrupted, closing):
    """Play the case."""
    store = harness.Store(record)
    await store.listen()
    closing.append(store.close)
    expiring = asyncio.create_task(store.expire_leases())
    proxy = harness.Proxy(store.port)
    await proxy.listen()
    closing.append(proxy.close)
    store.put(
        'op/config',
        harness.configuration(
            3,
            [harness.route('orders', '/orders/', 'unsafe', 'garden')],
            ['garden'],
            {'school': [_KEY]},
        ),
    )
    engines = [
        harness.Engine(f'i-{number}', 'garden', store, record, work_s=0.09)
        for number in range(1, 4)
    ]
    for engine in engines:
        await engine.listen()
        closing.append(engine.close)
    leaving, *others = engines
    leaving.register()
    others[0].register()
    entries = [
        harness.Entry(f'front-{number}', proxy.port, folder, record)
        for number in (1, 2)
    ]
    for entry in entries:
        closing.append(entry.end)
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    client = harness.Client(record)
    sending = asyncio.create_task(
        _send_until(client, entries, record.now() + 2 + _WATCHED_S, record)
    )
    await asyncio.sleep(1.5)
    others[1].register()
    await asyncio.sleep(0.5)
    silent_at = record.now()
    if is_disrupted:
        record.write(f'proxy: {proxy.silence()} connections are silent now')
    await asyncio.sleep(0.2)
    leaving.state = 'draining'
    leaving.register()
    drained_at = record.now()
    await asyncio.sleep(_DRAIN_S + _LINGER_S)
    record.write(f'engine {leaving.name}: exits')
    await leaving.close()
    store.remove(f'servers/{leaving.name}')
    await sending
    expiring.cancel()
    sent_at = {ident: at for at, ident, _ in client.answers}
    in_touch_from = silent_at + _STABLE_S if is_disrupted else 0
    late = [
        ident
        for at, ident, *_ in leaving.runs
        if at > drained_at + _DRAIN_S + _MARGIN_S
        and sent_at[ident] > in_touch_from + _MARGIN_S
    ]
    lost = [
        ident
        for at, ident, status in client.answers
        if status in {0, 502, 504} and at > in_touch_from + _MARGIN_S
    ]
    record.write(f'{len(client.answers)} requests, {len(lost)} lost')
    if not late:
        return ''
    return (
        f'{len(late)} requests reached {leaving.name} later than drain_ms '
        f'after it was draining, sent later than stable_ms after the silence'
    )


if __name__ == '__main__':
    sys.exit(harness.run_case(_scenario))
