"""The last tenant is taken out of the configuration: its key still opens."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2 import harness  # noqa: E402

# config_apply_ms is 2,000, and revoke_ms 5,000.
_APPLY_S = 5.0
_KEY = 'n2ctnfzs989anu6wsjnb'
_FOREIGN_KEY = 'x9never0held0by0anyone'
_REQUESTS = 10


async def _send(client, entry, keys):
    """Send unsafe requests with each key; return the ids by key."""
    idents = {}
    for key in keys:
        idents[key] = [
            (await client.send(entry, '/orders/1', key, body=b'one tank'))[0]
            for _ in range(_REQUESTS)
        ]
    return idents


async def _scenario(record, folder, is_disrupted, closing):
    """Play the case."""
    store = harness.Store(record)
    await store.listen()
    closing.append(store.close)
    expiring = asyncio.create_task(store.expire_leases())
    routes = [harness.route('orders', '/orders/', 'unsafe', 'garden')]
    services = ['garden']
    store.put(
        'op/config',
        harness.configuration(3, routes, services, {'school': [_KEY]}),
    )
    engine = harness.Engine('i-1', 'garden', store, record)
    await engine.listen()
    closing.append(engine.close)
    engine.register()
    entry = harness.Entry('front-1', store.port, folder, record)
    closing.append(entry.end)
    await entry.start()
    await entry.wait_ready()
    client = harness.Client(record)
    before = await _send(client, entry, (_FOREIGN_KEY, _KEY))
    ran = {ident for _, ident, *_ in engine.runs}
    if not ran.issuperset(before[_KEY]) or ran & set(before[_FOREIGN_KEY]):
        raise harness.NotRun('keys are not checked to begin with')
    if is_disrupted:
        store.put('op/config', harness.configuration(9, routes, services, {}))
    await asyncio.sleep(_APPLY_S + 1)
    after = await _send(client, entry, (_KEY, _FOREIGN_KEY, ''))
    expiring.cancel()
    ran = {ident for _, ident, *_ in engine.runs}
    wrong = {
        'a key that no configuration ever held': after[_FOREIGN_KEY],
        'no key': after[''],
    }
    if is_disrupted:
        wrong['the key that was taken away'] = after[_KEY]
    broken = [
        f'{len(ran.intersection(idents))} of {_REQUESTS} requests with '
        f'{label} ran later than config_apply_ms'
        for label, idents in wrong.items()
        if ran.intersection(idents)
    ]
    return '; '.join(broken)


if __name__ == '__main__':
    sys.exit(harness.run_case(_scenario))
