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
# Without so many requests that late, the bound is not put to the test.
_MIN_LATE_REQUESTS = 8
_CRASHES = 5
_LONG_AGO = float('-inf')
# From this long after the fifth end, half of the sound requests are served at
# their first attempt.
_RECOVERY_SECONDS = 6.0
_MIN_SOUND_REQUESTS = 12
_MEASURED_SECONDS = 2.0
_BAD_REQUESTS = 48
_FEWER_BAD_REQUESTS = 32
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
# Time for marks to be written after an outage of the store.
_STORE_RETURN_SECONDS = 3.0
_BAD_REQUESTS_AFTER_RESTART = 28
_BAD_REQUESTS_IN_OUTAGE = 44
_BAD_REQUESTS_TO_GROUPS = 32
_RANKS = 4
# Bursts that fill all engines, half of which end meanwhile.
_BURSTS = 4
_REQUESTS_PER_BURST = 48
_BURST_RUNNING_SECONDS = 0.1
_BURST_INTERVAL_SECONDS = 1.2
_ONCE_INTERVAL_SECONDS = 0.3
_REFUSED_REQUESTS = 4
# Two seconds of sound requests.
_POPULAR_REQUESTS = 32
_POPULAR_INTERVAL_SECONDS = 0.0625
_SILENCE_SECONDS = 1.4
_LOSS_SECONDS = 1.0
_LEAVING_ENGINES = 6
# A failure domain, and the time for it to get requests.
_DOMAIN_ENGINES = 6
_DOMAIN_SECONDS = 0.5
# By then the ends are marked in the store, and no later response has settled.
_MARKED_SECONDS = 0.35


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


async def _restart_entries(callers):
    """Kill all entries and start them without any memory."""
    deployment = callers.deployment
    for entry in deployment.entries:
        entry.kill()
    for entry in deployment.entries:
        await entry.start()


async def _do_nothing(_):
    """Disturb nothing."""


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

    def _assert_bound(self, callers, since_seconds=_LONG_AGO):
        """Check that few bad requests reach engines after the fifth end.

        Requests soon after `since_seconds` do not count either.
        """
        deployment = callers.deployment
        crashes = _crash_times(deployment)
        self.assertNotEqual([], crashes)
        bound_from = (
            max(_fifth_crash(deployment), since_seconds) + _STABLE_SECONDS
        )
        sent_late = [
            reply
            for reply in callers.bad_replies
            if reply.sent_at_seconds > bound_from
        ]
        self.assertTrue(len(sent_late) >= _MIN_LATE_REQUESTS, len(sent_late))
        late = _late_arrivals(deployment, bound_from)
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
            while not callers.has_quarantined:
                await sequence.step()
        self.assertTrue(
            callers.has_quarantined,
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

    def _check_sequence(self, bad_count=_BAD_REQUESTS, prepare=None):
        """Check the bound and the service during a steady sequence."""

        async def _scenario(callers):
            if prepare is not None:
                prepare(callers)
            sequence = _Sequence(callers)
            await sequence.send(bad_count)
            await sequence.send_until_measured()
            await callers.settle()
            self._assert_bound(callers)
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

        self._check_sequence(_FEWER_BAD_REQUESTS, _prepare)

    def test_end_within_a_started_stream(self):
        """A stream that ends its engine after an event is not resumed on.

        Neither the gateways nor its caller may repeat it for ever.
        """

        def _prepare(callers):
            callers.resumptions = 2
            for number, engine in enumerate(callers.deployment.engines):
                engine.events_before_end = number % 2 + 1

        self._check_sequence(_FEWER_BAD_REQUESTS, _prepare)

    def test_entry_that_saw_no_end(self):
        """An entry that saw none of the ends refuses the next request."""

        async def _scenario(callers):
            await self._quarantine(callers, (0,))
            await self._assert_refused(callers, (1,))
            await self._assert_all_served(callers)

        self._run(_scenario)

    def test_restart_of_all_entries(self):
        """Entries that start without memory refuse a part that is known."""

        async def _scenario(callers):
            await self._quarantine(callers)
            await _restart_entries(callers)
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_refused(callers)
            await self._assert_all_served(callers)

        self._run(_scenario)

    def test_restart_between_the_ends(self):
        """Entries that start after the second end do not begin anew."""

        async def _scenario(callers):
            sequence = _Sequence(callers)
            while len(_crash_times(callers.deployment)) < 2:
                await sequence.step()
            await _restart_entries(callers)
            restarted_at = anyio.current_time()
            await sequence.send(_BAD_REQUESTS_AFTER_RESTART)
            await callers.settle()
            self._assert_bound(callers, restarted_at)

        self._run(_scenario)

    def test_store_outage(self):
        """Without the store each entry knows the part, and all do later."""

        async def _scenario(callers):
            callers.deployment.store.is_unavailable = True
            await _Sequence(callers).send(_BAD_REQUESTS_IN_OUTAGE)
            await callers.settle()
            for entry_number in _ALL_ENTRIES:
                self._assert_bound_of_entry(callers, entry_number)
            callers.deployment.store.is_unavailable = False
            await anyio.sleep(_STORE_RETURN_SECONDS)
            await _restart_entries(callers)
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_refused(callers)

        self._run(_scenario)

    def test_store_restore(self):
        """A part is still refused after the store came back as a copy."""

        async def _scenario(callers):
            deployment = callers.deployment
            await self._quarantine(callers)
            deployment.store.is_unavailable = True
            await anyio.sleep(_WATCH_SECONDS)
            deployment.store.restore(deployment.first_copy)
            deployment.store.is_unavailable = False
            await anyio.sleep(_RESTORE_SECONDS)
            await self._assert_refused(callers)
            await _restart_entries(callers)
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_refused(callers)

        self._run(_scenario)

    def _assert_bound_of_entry(self, callers, entry_number):
        """Check the bound for the requests that one entry got.

        Without the store it knows only of the ends that they caused.
        """
        ids = {
            reply.request_id
            for reply in callers.bad_replies
            if reply.entry_number == entry_number
        }
        engines = callers.deployment.engines
        crashes = sorted(
            crashed_at
            for engine in engines
            for crashed_at, request_id in engine.crashes
            if request_id in ids
        )
        self.assertNotEqual([], crashes)
        fifth = crashes[:_CRASHES][-1]
        late = ids.intersection(
            _late_arrivals(callers.deployment, fifth + _STABLE_SECONDS)
        )
        self.assertTrue(
            len(late) <= _MAX_LATE_ARRIVALS,
            f'entry {entry_number}: {len(late)} late, {len(crashes)} crashes',
        )


class CrashingPartInGroupsTest(_CrashingPartTest):
    """Streams at two groups of four ranks."""

    def setUp(self):
        """Prepare the groups."""
        super().setUp()
        self._create = part_engine.group_creator(_RANKS)

    def create_engine(self, number, store, tasks):
        """Return a rank of a group."""
        return self._create(number, store, tasks)

    def test_two_entries(self):
        """The part is found though each end breaks a whole group.

        The parts of streams that are cut at the other ranks stay in use.
        """

        async def _scenario(callers):
            sequence = _Sequence(callers)
            await sequence.send(_BAD_REQUESTS_TO_GROUPS)
            await sequence.send_until_measured()
            await self._assert_all_served(callers)
            self._assert_bound(callers)
            self._assert_none_quarantined(callers.sound_replies)

        self._run(_scenario)


class CrashingPartOfCallsTest(_CrashingPartTest):
    """Plain idempotent calls whose prompts hold the bad part."""

    path = part_callers.CALL_PATH

    def create_engine(self, number, store, tasks):
        """Return an engine that answers plain calls."""
        return part_engine.create_call_engine(number, store, tasks)

    def test_two_entries(self):
        """Requests that share a part are not sent on for ever."""
        self._check_sequence()

    def test_many_other_parts(self):
        """Hundreds of parts that engines ended with do not hide the bad one."""

        async def _scenario(callers):
            engines = callers.deployment.engines
            await self._quarantine(callers)
            await anyio.sleep(_RESTART_SECONDS)
            for burst in range(_BURSTS):
                for number in range(_REQUESTS_PER_BURST):
                    middle = b'd%02x%05x' % (burst, number)
                    callers.send_sound_later(number % 2, middle)
                await anyio.sleep(_BURST_RUNNING_SECONDS)
                for engine in engines[burst % 2 :: 2]:
                    engine.end()
                await anyio.sleep(_BURST_INTERVAL_SECONDS)
            await callers.settle()
            await self._assert_refused(callers)
            await self._assert_all_served(callers)
            self._assert_none_quarantined(callers.sound_replies)

        self._run(_scenario)

    def test_new_requests_that_may_run_once(self):
        """A request that ended an engine is not called unrun, later ones are.

        No two of them are alike.
        """
        self._check_once(body=None)

    def test_equal_requests_that_may_run_once(self):
        """A request that ended an engine is not called unrun, later ones are.

        All of them are alike.
        """
        self._check_once(body=b'equal')

    def _check_once(self, body):
        """Check the replies to requests that may run once only."""

        async def _scenario(callers):
            with anyio.move_on_after(_QUARANTINE_LIMIT_SECONDS):
                while not callers.has_quarantined:
                    await self._send_once(callers, body)
                    await anyio.sleep(_ONCE_INTERVAL_SECONDS)
            self.assertTrue(
                callers.has_quarantined,
                f'{len(_crash_times(callers.deployment))} crashes',
            )
            for _ in range(_REFUSED_REQUESTS):
                reply = await self._send_once(callers, body)
                self.assertTrue(reply.is_quarantined, reply)

        self._run(_scenario)

    async def _send_once(self, callers, body):
        """Send a bad request that may run once; check and return its reply.

        The entries are used in turn.
        """
        reply = await callers.send_bad(
            len(callers.bad_replies) % 2, part_callers.ONCE_PATH, body
        )
        runs = callers.run_count_by_id()[reply.request_id]
        self.assertIn((reply.status, runs), ((502, 1), (503, 0)))
        return reply


class SoundPartTest(_CrashingPartTest):
    """Streams without the bad part, half of which share a middle part."""

    popular_part = part_callers.MIDDLE_PARTS[0]

    def _check_none_refused(self, disturbances):
        """Check that no part is refused because of disturbances.

        They are functions of the deployment, one for each stretch of time.
        """

        async def _scenario(callers):
            await self._send_popular(callers)
            async with anyio.create_task_group() as tasks:
                for disturb in disturbances:
                    tasks.start_soon(disturb, callers.deployment)
                    await self._send_popular(callers)
            await self._assert_all_served(callers)
            self._assert_none_quarantined(callers.replies)

        self._run(_scenario)

    async def _send_popular(self, callers):
        """Send sound requests for a stretch of time."""
        for number in range(_POPULAR_REQUESTS):
            middle = self.popular_part if number % 4 < 2 else None
            callers.send_sound_later(number % 2, middle)
            await anyio.sleep(_POPULAR_INTERVAL_SECONDS)

    def test_engines_that_end_without_a_bad_part(self):
        """Parts that are in use wherever engines end are not blamed."""

        async def _end_even(deployment):
            for engine in deployment.engines[::2]:
                engine.end()

        async def _end_odd(deployment):
            for engine in deployment.engines[1::2]:
                engine.end()

        self._check_none_refused((_end_even, _end_odd, _end_even))

    def test_restart_after_a_domain_has_ended(self):
        """Entries that start then do not blame a part that all prompts share.

        They have seen no success, and used to refuse all requests.
        """

        async def _scenario(callers):
            await self._send_popular(callers)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_popular, callers)
                await anyio.sleep(_DOMAIN_SECONDS)
                for engine in callers.deployment.engines[:_DOMAIN_ENGINES]:
                    engine.end()
                await anyio.sleep(_MARKED_SECONDS)
                tasks.cancel_scope.cancel()
            await _restart_entries(callers)
            await anyio.sleep(_WATCH_SECONDS)
            await self._send_popular(callers)
            await self._assert_all_served(callers)
            self._assert_none_quarantined(callers.replies)

        self._run(_scenario)

    def test_engines_that_leave(self):
        """Streams that are cut where engines leave as planned blame no part."""

        async def _leave_in_turn(deployment):
            for number, engine in enumerate(
                deployment.engines[:_LEAVING_ENGINES]
            ):
                await engine.leave(is_reported=number % 2 == 0)

        self._check_none_refused((_leave_in_turn, _do_nothing))

    def test_engines_that_do_not_answer(self):
        """Streams that are lost or fall silent without an end blame no part."""

        async def _lose(deployment):
            for engine in deployment.engines:
                engine.scripts = ['lost', 'cut', 'lost', 'cut']
            await anyio.sleep(_LOSS_SECONDS)
            for losing_engine in deployment.engines:
                losing_engine.scripts = []

        async def _silence(deployment):
            for engine in deployment.engines[:6]:
                engine.fall_silent(_SILENCE_SECONDS)

        self._check_none_refused((_lose, _silence))
