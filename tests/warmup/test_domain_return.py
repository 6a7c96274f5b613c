"""A failure domain that comes back cold under full load.

Six entries, which do not hear each other's counts, send 700 requests per
second for 0.25 s each to 72 upstreams with 5 slots. The 24 upstreams of one
domain become cold at once and bear 28 requests per second, or 4.
"""

import collections
import itertools

import anyio
import pyrsistent
import testtools

from nutmegtrail.gateway import dispatcher
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import request_limits
from nutmegtrail.gateway import request_queue
from nutmegtrail.warmup import shares
from nutmegtrail.warmup import sightings
from tests import simulated_time
from tests.gateway import samples

_ENTRIES = tuple(f'10.0.0.{number}:7340' for number in range(6))
_DOMAINS = ('kandla-a', 'kandla-b', 'kandla-c')
_UPSTREAMS = tuple(
    samples.member(
        f'i-{number}',
        number // len(_DOMAINS),
        group=f'g{number % len(_DOMAINS)}',
        size=24,
    )._replace(failure_domain=_DOMAINS[number % len(_DOMAINS)], slots=5)
    for number in range(72)
)
_COLD_IDS = tuple(
    upstream.upstream_id
    for upstream in _UPSTREAMS
    if upstream.failure_domain == 'kandla-c'
)
_COLD_SECONDS = 2.0
_RUN_SECONDS = 0.25
_INTERVAL_SECONDS = 1 / 700
_REPORT_SECONDS = 0.05


class DomainReturnTest(testtools.TestCase):
    """Entries that assign requests while a third of the upstreams is cold."""

    def _run(self, requests_per_second):
        """Return the times of the requests by upstream, and the refused."""
        self.sent_at_by_id = collections.defaultdict(list)
        self.refused = 0

        async def _main():
            dispatchers = [
                self._dispatcher(own, requests_per_second) for own in _ENTRIES
            ]
            async with anyio.create_task_group() as tasks:
                for dispatching in dispatchers:
                    tasks.start_soon(self._report, dispatching)
                for number, dispatching in enumerate(
                    itertools.cycle(dispatchers)
                ):
                    if anyio.current_time() >= _COLD_SECONDS:
                        break
                    tasks.start_soon(self._request, dispatching, f'r{number}')
                    await anyio.sleep(_INTERVAL_SECONDS)
                await anyio.sleep(2)
                tasks.cancel_scope.cancel()

        simulated_time.run(_main)

    def _dispatcher(self, own, requests_per_second):
        """Return the dispatcher of an entry that knows all upstreams."""
        dispatching = dispatcher.Dispatcher('kandla-a', own)
        dispatching.entries = len(_ENTRIES)
        dispatching.limiter.sharing = request_limits.Sharing(own, _ENTRIES)
        dispatching.known_upstreams = fleet.Fleet(
            pyrsistent.pmap(
                {upstream.upstream_id: upstream for upstream in _UPSTREAMS}
            ),
            is_known=True,
        )
        cold = dispatching.limiter.cold
        cold.set_rules(
            {'drafts': shares.Rule(_COLD_SECONDS, requests_per_second)}
        )
        for upstream_id in _COLD_IDS:
            cold.record(
                sightings.Registered(
                    upstream_id, 'drafts', 1, 1, _COLD_SECONDS
                ),
                'test',
            )
        return dispatching

    async def _report(self, dispatching):
        """Dispatch with each report, as the exchange of entries does."""
        while True:
            await anyio.sleep(_REPORT_SECONDS)
            dispatching.dispatch_all()

    async def _request(self, dispatching, name):
        """Run one request at the upstream that it is assigned to."""
        now = anyio.current_time()
        candidate = await dispatching.acquire(
            'drafts',
            request_queue.QueuedRequest(
                name, 'a', 1, now + 0.5, now + 1.4, frozenset()
            ),
        )
        if candidate is None:
            self.refused += 1
            return
        upstream = candidate.upstream
        if dispatching.confirm(upstream, name):
            now = anyio.current_time()
            self.sent_at_by_id[upstream.upstream_id].append(now)
        await anyio.sleep(_RUN_SECONDS)
        dispatching.release(upstream, name)

    def _counts_within_bound(self, rate):
        """Return the requests of cold upstreams after checking the bound."""
        counts = []
        for upstream_id in _COLD_IDS:
            times = self.sent_at_by_id[upstream_id]
            counts.append(len(times))
            for begin in times:
                most = sum(begin <= at < begin + 1 for at in times)
                self.assertTrue(most <= 1.5 * rate, (rate, most))
        return counts

    def test_upstreams_that_bear_their_part(self):
        """A domain that bears 672 requests per second takes part at once."""
        self._run(28.0)
        self.assertEqual(0, self.refused)
        total = sum(map(len, self.sent_at_by_id.values()))
        cold_count = sum(self._counts_within_bound(28.0))
        self.assertTrue(cold_count >= total / 4, (cold_count, total))

    def test_upstreams_that_bear_little(self):
        """Each gets nearly what it bears; the others carry the rest."""
        self._run(4.0)
        self.assertEqual(0, self.refused)
        counts = self._counts_within_bound(4.0)
        self.assertTrue(min(counts) >= 0.8 * 4 * _COLD_SECONDS, counts)
