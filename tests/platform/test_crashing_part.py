"""Parts of prompts that end the engines, over several entries."""

import anyio
import testtools

from tests.platform import entries
from tests.platform import part_callers
from tests.platform import part_engine

_ENGINES = 8
_ALL_ENTRIES = (0, 1)
# The bound of the platform: from this long after the fifth end, three
# requests with the bad part may reach engines.
_STABLE_SECONDS = 3.0
_MAX_LATE_ARRIVALS = 3
_CRASHES = 5
_LONG_AGO = float('-inf')
# From this long after the fifth end, half of the sound requests are served at
# their first attempt.
_RECOVERY_SECONDS = 6.0
_MIN_SOUND_REQUESTS = 12
_MEASURED_SECONDS = 2.0
_BAD_REQUESTS = 48
_MAX_BAD_REQUESTS = 72
# Sound requests come at this interval, bad ones at twice of it.
_INTERVAL_SECONDS = 0.125
# By then an entry must refuse a part, whatever it has let through before.
_QUARANTINE_LIMIT_SECONDS = 8.0
# Time for the store's watch to deliver marks.
_WATCH_SECONDS = 0.5
# Time for the last engine that ended to be back.
_RESTART_SECONDS = 2.5
# Time for a restored store to be known and written.
_RESTORE_SECONDS = 4.0


class _Sequence:
    """Steady sequence of bad requests beside sound ones."""

    def __init__(self, callers, entry_numbers=_ALL_ENTRIES):
        """Initialize a sequence to entries in turn."""
        self._callers = callers
        self._entry_numbers = entry_numbers
        self._tick = 0
        self._next_at = anyio.current_time()

    async def send(self, bad_count):
        """Send bad requests, and twice as many sound ones."""
        for _ in range(2 * bad_count):
            await self.step()

    async def send_until_measured(self):
        """Send on until sound requests came long after the fifth end."""
        while self._tick < 2 * _MAX_BAD_REQUESTS:
            crashed_at = _fifth_crash(self._callers.deployment)
            measured_at = crashed_at + _RECOVERY_SECONDS + _MEASURED_SECONDS
            if anyio.current_time() > measured_at:
                return
            await self.step()

    async def step(self):
        """Send a sound request, at each other step a bad one as well."""
        count = len(self._entry_numbers)
        self._callers.send_sound_later(self._entry_numbers[self._tick % count])
        if self._tick % 2 == 0:
            self._callers.send_bad_later(
                self._entry_numbers[self._tick // 2 % count]
            )
        self._tick += 1
        self._next_at = max(
            self._next_at + _INTERVAL_SECONDS, anyio.current_time()
        )
        await anyio.sleep_until(self._next_at)


def _crash_times(deployment):
    """Return the ascending times at which the bad part ended engines."""
    return sorted(
        crashed_at
        for engine in deployment.engines
        for crashed_at, _ in engine.crashes
    )


def _fifth_crash(deployment):
    """Return the time of the fifth end, or of the last one of fewer."""
    return (_crash_times(deployment)[:_CRASHES] or [_LONG_AGO])[-1]


def _late_arrivals(deployment, since_seconds):
    """Return the bad requests that reached engines after a time."""
    return [
        request_id
        for engine in deployment.engines
        for arrived_at, request_id in engine.bad_arrivals
        if arrived_at > since_seconds
    ]


class _CrashingPartTest(testtools.TestCase):
    """Two entries in front of eight engines."""

    path = part_callers.STREAM_PATH

    def create_engine(self, number, store, tasks):
        """Return an engine that answers requests to the path."""
        return part_engine.create_stream_engine(number, store, tasks)

    def _run(self, scenario):
        """Run a scenario with callers of a started deployment."""

        async def _scenario(deployment):
            async with anyio.create_task_group() as tasks:
                callers = part_callers.Callers(deployment, tasks, self.path)
                await scenario(callers)
            self._assert_refusals_are_true(callers)

        entries.run(_scenario, _ENGINES, len(_ALL_ENTRIES), self.create_engine)

    def _assert_refusals_are_true(self, callers):
        """Check that no refused request has run."""
        run_count_by_id = callers.run_count_by_id()
        self.assertEqual(
            [],
            [
                reply.request_id
                for reply in callers.replies
                if reply.status == 503 and run_count_by_id[reply.request_id]
            ],
        )

    def _assert_bound(self, deployment, since_seconds=_LONG_AGO):
        """Check that few bad requests reach engines after the fifth end.

        Requests soon after `since_seconds` do not count either.
        """
        crashes = _crash_times(deployment)
        self.assertNotEqual([], crashes)
        bound_from = max(_fifth_crash(deployment), since_seconds)
        late = _late_arrivals(deployment, bound_from + _STABLE_SECONDS)
        self.assertTrue(
            len(late) <= _MAX_LATE_ARRIVALS,
            f'{len(late)} late arrivals, {len(crashes)} crashes',
        )

    def _assert_half_served(self, callers):
        """Check that half of the sound requests are served at once."""
        since = _fifth_crash(callers.deployment) + _RECOVERY_SECONDS
        replies = [
            reply
            for reply in callers.sound_replies
            if reply.sent_at_seconds > since
        ]
        self.assertTrue(len(replies) >= _MIN_SOUND_REQUESTS, len(replies))
        served = [reply for reply in replies if reply.is_whole]
        self.assertTrue(
            2 * len(served) >= len(replies),
            f'{len(served)} of {len(replies)} served',
        )

    def _assert_none_quarantined(self, replies):
        """Check that no request was refused because of its parts."""
        self.assertEqual(
            [], [reply.request_id for reply in replies if reply.is_quarantined]
        )

    async def _quarantine(self, callers, entry_numbers=_ALL_ENTRIES):
        """Send bad requests beside sound ones until one is refused."""
        sequence = _Sequence(callers, entry_numbers)
        with anyio.move_on_after(_QUARANTINE_LIMIT_SECONDS):
            while not any(
                reply.is_quarantined for reply in callers.bad_replies
            ):
                await sequence.step()
        self.assertTrue(
            any(reply.is_quarantined for reply in callers.bad_replies),
            f'not refused, {len(_crash_times(callers.deployment))} crashes',
        )
        await callers.settle()
        await anyio.sleep(_WATCH_SECONDS)

    async def _assert_refused(self, callers, entry_numbers=_ALL_ENTRIES):
        """Check that entries refuse bad requests at once and truly."""
        for entry_number in entry_numbers:
            started_at = anyio.current_time()
            reply = await callers.send_bad(entry_number)
            self.assertTrue(anyio.current_time() - started_at < 1)
            self.assertTrue(reply.is_quarantined, reply)
            arrived = _late_arrivals(callers.deployment, started_at)
            self.assertEqual([], arrived)

    async def _assert_all_served(self, callers, entry_numbers=_ALL_ENTRIES):
        """Check that entries serve requests with each sound part."""
        await callers.settle()
        await anyio.sleep(_RESTART_SECONDS)
        earlier = len(callers.sound_replies)
        for middle in part_callers.MIDDLE_PARTS:
            for entry_number in entry_numbers:
                callers.send_sound_later(entry_number, middle)
            await anyio.sleep(_INTERVAL_SECONDS)
        await callers.settle()
        replies = callers.sound_replies[earlier:]
        self.assertEqual([], [reply for reply in replies if not reply.is_whole])

    def _check_sequence(self, prepare=None):
        """Check the bound and the service during a steady sequence."""

        async def _scenario(callers):
            if prepare is not None:
                prepare(callers)
            sequence = _Sequence(callers)
            await sequence.send(_BAD_REQUESTS)
            await sequence.send_until_measured()
            await callers.settle()
            self._assert_bound(callers.deployment)
            self._assert_half_served(callers)

        self._run(_scenario)


class CrashingPartOfStreamsTest(_CrashingPartTest):
    """Streams whose prompts hold the bad part."""

    def test_two_entries(self):
        """Requests that share a part are not sent on for ever.

        Each of them is new, and neither entry sees all of the ends.
        """
        self._check_sequence()

    def test_first_part(self):
        """The bad part may be the first one; other first parts are served."""

        def _prepare(callers):
            callers.bad_first_part = part_engine.BAD_PART
            callers.first_part = part_callers.OTHER_FIRST_PART

        self._check_sequence(_prepare)


class CrashingPartOfCallsTest(_CrashingPartTest):
    """Plain idempotent calls whose prompts hold the bad part."""

    path = part_callers.CALL_PATH

    def create_engine(self, number, store, tasks):
        """Return an engine that answers plain calls."""
        return part_engine.create_call_engine(number, store, tasks)

    def test_two_entries(self):
        """Requests that share a part are not sent on for ever."""
        self._check_sequence()
