"""Engines that name in their responses how many requests a second they take."""

import itertools

import anyio
import testtools

from nutmegtrail.gateway import const
from tests.platform import entries
from tests.platform import stand_in

_READ_PATH = b'/long/read/2f'
_LIMIT_HEADER = b'server-limit'
_WINDOW_SECONDS = 4.0
_WORK_SECONDS = 0.1
# All entries know of a limit after this time.
_SPREAD_SECONDS = 0.5


class _Engine(stand_in.Engine):
    """Engine that keeps the times of arrivals, usually with one slot.

    Its control API names the limit too, unless `has_plain_control_api` is set.
    """

    def __init__(self, number, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(f'd-{number}', 'desk')
        self.arrival_times = []
        self.has_plain_control_api = False
        self._store = store
        self._tasks = tasks

    async def start(self):
        """Listen and register."""
        await stand_in.serve(self, self._tasks)
        self.register()

    def register(self, slots=1):
        """Write the registration."""
        self._store.put(f'servers/{self.name}', self.registration(slots=slots))

    def name_limit(self, requests_per_second):
        """Name a limit from now on."""
        self.added_headers = ((_LIMIT_HEADER, requests_per_second),)

    def end_limit(self):
        """Name no limit from now on."""
        self.added_headers = ()

    def restart(self):
        """Continue as a later start, which has not said anything yet."""
        self.started_at_ms += 1
        self.end_limit()
        self.register()

    def arrivals_since(self, began_at):
        """Return the times of the requests since a time."""
        return [at for at in self.arrival_times if at >= began_at]

    async def handle(self, exchange):
        """Handle a request or a call to the control API."""
        if exchange.request.target != b'/api/report':
            self.arrival_times.append(anyio.current_time())
            await anyio.sleep(_WORK_SECONDS)
        elif self.has_plain_control_api:
            await exchange.respond(404, (), b'')
            return
        await super().handle(exchange)


def _most_in_window(times, seconds):
    """Return the most requests in any window of a length."""
    return max(
        (sum(start <= at < start + seconds for at in times) for start in times),
        default=0,
    )


async def _send_steadily(deployment, entry_indices, rate, seconds, name='r'):
    """Send requests at a rate to the entries in turn."""
    began_at = anyio.current_time()
    indices = itertools.cycle(entry_indices)
    for number in range(int(rate * seconds)):
        deployment.send_later(
            deployment.entries[next(indices)],
            b'x',
            f'{name}-{number}',
            path=_READ_PATH,
        )
        await anyio.sleep_until(began_at + (number + 1) / rate)


class _LimitTest(testtools.TestCase):
    """Helpers for entries in front of engines that name limits."""

    def _assert_limit(self, times, requests_per_second):
        """Check the limit in windows of several lengths.

        One request may arrive at the start of each.
        """
        for seconds in (1.0, 2.0, _WINDOW_SECONDS):
            most = _most_in_window(times, seconds)
            self.assertTrue(
                most <= requests_per_second * seconds + 1,
                (seconds, most, times),
            )

    def _run(self, scenario, engine_count=4, entry_count=2):
        """Run a scenario with a started deployment."""
        entries.run(scenario, engine_count, entry_count, _Engine)

    async def _flood(self, deployment, name, seconds, entry_indices=(0, 1)):
        """Send more requests than all engines can run."""
        await _send_steadily(deployment, entry_indices, 40, seconds, name)


class LimitedEngineTest(_LimitTest):
    """One of the engines names a limit."""

    # Guards against a back end that gets many times the limit that it named.
    def test_two_entries_keep_to_one_limit(self):
        """The limit holds for all entries together, and is used.

        The other engines cannot take all of the requests.
        """

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'2.0')
            await self._flood(deployment, 'first', 1)
            began_at = anyio.current_time() + _SPREAD_SECONDS
            await self._flood(deployment, 'r', 6)
            times = limited.arrivals_since(began_at)
            self._assert_limit(times, 2)
            self.assertTrue(len(times) >= 10, times)

        self._run(_scenario)

    def test_one_entry_gets_all_requests(self):
        """It uses the whole limit, and no more."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'2.0')
            await self._flood(deployment, 'first', 1, (0,))
            began_at = anyio.current_time() + _SPREAD_SECONDS
            await self._flood(deployment, 'r', 5, (0,))
            times = limited.arrivals_since(began_at)
            self._assert_limit(times, 2)
            self.assertTrue(len(times) >= 8, times)

        self._run(_scenario)

    # Guards against a process that uses the limit anew after its restart.
    def test_restarted_entry(self):
        """It learns the limit from the other one before it gets requests."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'2.0')
            await self._flood(deployment, 'first', 1)
            began_at = anyio.current_time() + _SPREAD_SECONDS
            await self._flood(deployment, 'before', 2)
            deployment.entries[1].kill()
            await deployment.entries[1].start()
            await self._flood(deployment, 'after', 4)
            self._assert_limit(limited.arrivals_since(began_at), 2)

        self._run(_scenario)

    def test_limit_that_changes(self):
        """A lower limit binds at once, and one that is unreadable no less."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'6')
            await self._flood(deployment, 'first', 2)
            limited.name_limit(b'1.0')
            await self._flood(deployment, 'lower', 1)
            lower_from = anyio.current_time()
            limited.name_limit(b'many')
            await self._flood(deployment, 'unreadable', 4)
            self._assert_limit(limited.arrivals_since(lower_from), 1)
            limited.name_limit(b'6')
            await self._flood(deployment, 'higher', 2)
            higher_from = anyio.current_time()
            await self._flood(deployment, 'more', 2)
            times = limited.arrivals_since(higher_from)
            self.assertTrue(len(times) >= 9, times)
            self.assertTrue(len(times) <= 14, times)

        self._run(_scenario)

    # Guards against the herd of all waiting requests at an engine that has
    # just recovered.
    def test_end_of_limit(self):
        """The engine gets more requests step by step, in the end all."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'1.0')
            await self._flood(deployment, 'limited', 3)
            limited.end_limit()
            ended_at = anyio.current_time()
            await self._flood(deployment, 'ended', 6)
            since = [at - ended_at for at in limited.arrivals_since(ended_at)]
            # The first request tells of the end.
            end = since[0] + _WORK_SECONDS
            early = [at for at in since if end <= at < end + 1]
            self.assertTrue(len(early) <= 4, since)
            late = [at for at in since if at >= end + 4]
            self.assertTrue(len(late) >= 7 * (6 - end - 4), since)

        self._run(_scenario)

    def test_restart_under_the_same_identifier(self):
        """A later start is not bound by what the earlier one said."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'0.1')
            await self._flood(deployment, 'limited', 2)
            limited.restart()
            await anyio.sleep(0.5)
            began_at = anyio.current_time()
            await self._flood(deployment, 'restarted', 1)
            times = limited.arrivals_since(began_at)
            self.assertTrue(len(times) >= 6, times)

        self._run(_scenario)


class ClosedEngineTest(_LimitTest):
    """One of the engines takes no requests at all."""

    def test_control_api_tells_of_the_end(self):
        """No request is sent before the control API names no limit."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.name_limit(b'0')
            await self._flood(deployment, 'first', 1)
            began_at = anyio.current_time()
            await self._flood(deployment, 'closed', 4)
            self.assertEqual([], limited.arrivals_since(began_at))
            limited.end_limit()
            await self._flood(deployment, 'open', 5)
            self.assertNotEqual([], limited.arrivals_since(began_at))

        self._run(_scenario)

    def test_control_api_without_limits(self):
        """It does not tell of the end, so that the limit stays."""

        async def _scenario(deployment):
            limited = deployment.engines[0]
            limited.has_plain_control_api = True
            limited.name_limit(b'0')
            await self._flood(deployment, 'first', 1)
            began_at = anyio.current_time()
            await self._flood(deployment, 'closed', 6)
            self.assertEqual([], limited.arrivals_since(began_at))

        self._run(_scenario)


class AllLimitedTest(_LimitTest):
    """All engines of a service name limits."""

    def test_hopeless_requests(self):
        """Requests that cannot start in time are refused at once.

        They are told to come back when those before them are served. In the
        0.9 s in which a request may start, two engines that take 2.0 a second
        can start four: one at once and one after half a second each.
        """

        async def _scenario(deployment):
            for engine in deployment.engines:
                # With a single slot each, one request may be queued.
                engine.register(slots=6)
                engine.name_limit(b'2.0')
            await self._flood(deployment, 'first', 1)
            # The other entry no longer counts as one that wants a part.
            await anyio.sleep(const.LIMIT_ACTIVITY_SECONDS + 0.5)
            deployment.response_by_id.clear()
            for number in range(20):
                deployment.send_later(
                    deployment.entries[0], b'x', f'r-{number}', path=_READ_PATH
                )
            await anyio.sleep(0.4)
            refused = [
                response
                for response in deployment.response_by_id.values()
                if response.status == 503
            ]
            self.assertTrue(14 <= len(refused) <= 16, len(refused))
            for response in refused:
                seconds = float(response.headers[b'retry-after'])
                self.assertTrue(0.1 <= seconds <= 2, seconds)
            await anyio.sleep(3)
            statuses = [
                response.status
                for response in deployment.response_by_id.values()
            ]
            self.assertTrue(4 <= statuses.count(200) <= 6, statuses)
            self.assertEqual({200, 503}, set(statuses))

        self._run(_scenario, engine_count=2)
