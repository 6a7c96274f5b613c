"""Engines that tell in their responses that they want no new requests."""

import anyio
import testtools

from tests.platform import entries
from tests.platform import stand_in

_LEAVING = (b'server-leaving', b'1')
# Longer than any request can wait.
_LONG = (b'retry-after', b'30')
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
_READ_PATH = b'/long/read/2f'
_STREAM_PATH = b'/long/prefix/2f'
_WATCH_SECONDS = 0.4
# Several intervals of the reports that entries send each other.
_REPORT_SECONDS = 0.3
# A restored store is known after a watch that waits.
_RECOVERY_SECONDS = 4.0


class _Engine(stand_in.Engine):
    """Engine that may restart under its identifier."""

    def __init__(self, name, service, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(name, service)
        self.key = f'servers/{name}'
        self._store = store
        self._tasks = tasks

    async def start(self):
        """Listen and register."""
        await stand_in.serve(self, self._tasks)
        self._store.put(self.key, self.registration())

    def restart(self):
        """Continue as a later start, which has not said anything yet."""
        self.started_at_ms += 1
        self.added_headers = ()
        self._store.put(self.key, self.registration())


def _create_desk_engine(number, store, tasks):
    """Return an engine of the service 'desk'."""
    return _Engine(f'd-{number}', 'desk', store, tasks)


def _create_drafts_engine(number, store, tasks):
    """Return an engine of the service 'drafts'."""
    return _Engine(f'i-{number}', 'drafts', store, tasks)


def _statuses(responses):
    """Return the statuses of responses."""
    return [response.status for response in responses]


class _SignalsTest(testtools.TestCase):
    """Helpers for entries in front of engines that may restart."""

    def _run(
        self,
        scenario,
        engine_count=2,
        entry_count=1,
        create_engine=_create_desk_engine,
    ):
        """Run a scenario with a started deployment."""
        entries.run(scenario, engine_count, entry_count, create_engine)

    async def _send(self, deployment, count, name, entry_index=0, **changes):
        """Send requests one after the other; return their responses."""
        changes.setdefault('path', _READ_PATH)
        return [
            await deployment.send(
                deployment.entries[entry_index],
                b'x',
                f'{name}-{number}',
                **changes,
            )
            for number in range(count)
        ]

    async def _assert_served(self, deployment, count, name, **changes):
        """Send requests that are all answered with success."""
        responses = await self._send(deployment, count, name, **changes)
        self.assertEqual({200}, set(_statuses(responses)))
        return responses

    async def _prefer(self, deployment, preferred):
        """Let the entries prefer an engine to equally loaded ones.

        The others are registered in another failure domain.
        """
        for engine in deployment.engines:
            if engine is not preferred:
                elsewhere = engine.registration(zone='kandla-b')
                deployment.store.put(engine.key, elsewhere)
        await anyio.sleep(_WATCH_SECONDS)


class LeavingEngineTest(_SignalsTest):
    """Engines whose responses say that they leave."""

    def test_every_response_counts(self):
        """One answer of any kind ends the new requests to its engine.

        The store calls the engine ready all the while.
        """
        for script in ('whole', 'failed', 'not_run'):

            async def _scenario(deployment, script=script):
                leaving, other = deployment.engines
                leaving.added_headers = (_LEAVING,)
                leaving.scripts = [script]
                await self._send(deployment, 12, 'r')
                self.assertEqual(1, len(leaving.requests), script)
                self.assertTrue(len(other.requests) >= 11, script)

            self._run(_scenario)

    def test_header_is_forwarded(self):
        """Callers get the header as the engine sent it."""

        async def _scenario(deployment):
            deployment.engines[0].added_headers = (_LEAVING,)
            responses = await self._assert_served(deployment, 1, 'r')
            self.assertEqual(b'1', responses[0].headers[b'server-leaving'])

        self._run(_scenario, engine_count=1)

    def test_entries_tell_each_other(self):
        """An entry that got no such answer sends no request either."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            for entry_index in range(3):
                await self._assert_served(
                    deployment, 8, f'e{entry_index}', entry_index=entry_index
                )
                self.assertEqual(1, len(leaving.requests))

        self._run(_scenario, entry_count=3)

    # Guards against a process that uses an engine again after its restart,
    # although the engine has left.
    def test_restarted_entry(self):
        """It learns from the others which engines leave."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            await self._assert_served(deployment, 6, 'before')
            restarted = deployment.entries[1]
            restarted.kill()
            await restarted.start()
            await self._assert_served(deployment, 6, 'after', entry_index=1)
            self.assertEqual(1, len(leaving.requests))

        self._run(_scenario, entry_count=2)

    def test_restart_under_the_same_identifier(self):
        """A later start gets requests, although the earlier one left."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            responses = await self._send(deployment, 3, 'before')
            self.assertEqual([200, 503, 503], _statuses(responses))
            leaving.restart()
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_served(deployment, 3, 'after')
            self.assertEqual(4, len(leaving.requests))

        self._run(_scenario, engine_count=1)

    def test_store_away(self):
        """The answer counts while the store is away and after its return.

        Its registration expires meanwhile and is written again as ready.
        """

        async def _scenario(deployment):
            store = deployment.store
            leaving = deployment.engines[0]
            store.is_unavailable = True
            await anyio.sleep(_WATCH_SECONDS)
            leaving.added_headers = (_LEAVING,)
            await self._assert_served(deployment, 6, 'away')
            store.remove(leaving.key)
            store.is_unavailable = False
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_served(deployment, 6, 'back')
            store.put(leaving.key, leaving.registration())
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_served(deployment, 6, 'registered')
            self.assertEqual(1, len(leaving.requests))

        self._run(_scenario)

    def test_store_restored_from_a_copy(self):
        """The answer counts after the store came back from a copy."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            await self._assert_served(deployment, 6, 'before')
            deployment.store.restore(deployment.first_copy)
            for second in range(int(_RECOVERY_SECONDS)):
                await self._assert_served(deployment, 6, f'after-{second}')
                await anyio.sleep(1)
            self.assertEqual(1, len(leaving.requests))

        self._run(_scenario)

    def test_stream_goes_on(self):
        """The streams of an engine that leaves are complete.

        They run when another response says so, or say so themselves.
        """

        async def _scenario(deployment):
            leaving, other = deployment.engines
            await self._prefer(deployment, leaving)
            entry = deployment.entries[0]
            for engine in deployment.engines:
                engine.scripts = ['paced']
            for name in ('s-0', 's-1'):
                deployment.send_later(entry, b'x', name, path=_STREAM_PATH)
            await anyio.sleep(0.1)
            leaving.added_headers = (_LEAVING,)
            await self._assert_served(deployment, 4, 'r', path=_STREAM_PATH)
            leaving.scripts = ['paced']
            await anyio.sleep(1)
            for name in ('s-0', 's-1'):
                response = deployment.response_by_id[name]
                self.assertEqual(
                    (200, _STREAM), (response.status, response.body)
                )
            self.assertEqual(2, len(leaving.requests))
            self.assertEqual(4, len(other.requests))

        self._run(_scenario, create_engine=_create_drafts_engine)

    def test_stream_that_tells_with_its_head(self):
        """No request follows the head, before the stream has ended."""

        async def _scenario(deployment):
            leaving, other = deployment.engines
            await self._prefer(deployment, leaving)
            leaving.added_headers = (_LEAVING,)
            for engine in deployment.engines:
                engine.scripts = ['paced']
            entry = deployment.entries[0]
            deployment.send_later(entry, b'x', 's', path=_STREAM_PATH)
            await anyio.sleep(0.1)
            await self._assert_served(deployment, 4, 'r', path=_STREAM_PATH)
            await anyio.sleep(1)
            response = deployment.response_by_id['s']
            self.assertEqual((200, _STREAM), (response.status, response.body))
            self.assertEqual(1, len(leaving.requests))
            self.assertEqual(4, len(other.requests))

        self._run(_scenario, create_engine=_create_drafts_engine)

    def test_queued_requests(self):
        """Requests that wait for a slot of the engine are not sent to it."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            leaving.scripts = ['slow', 'slow', 'slow']
            deployment.store.put(leaving.key, leaving.registration(slots=2))
            await anyio.sleep(_WATCH_SECONDS)
            for number in range(4):
                deployment.send_later(
                    deployment.entries[0], b'x', f'r-{number}', path=_READ_PATH
                )
            await anyio.sleep(2)
            self.assertEqual(2, len(leaving.requests))
            statuses = _statuses(deployment.response_by_id.values())
            self.assertEqual([200, 200, 503, 503], sorted(statuses))

        self._run(_scenario, engine_count=1)

    def test_report_after_a_lost_response(self):
        """The report that is read after a lost response counts as well."""

        async def _scenario(deployment):
            leaving = deployment.engines[0]
            leaving.added_headers = (_LEAVING,)
            leaving.scripts = ['lost']
            await self._assert_served(deployment, 8, 'r')
            self.assertEqual(1, len(leaving.requests))

        self._run(_scenario)

    def test_answers_that_say_nothing(self):
        """An answer to another request or by another engine is ignored."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            engine.added_headers = (_LEAVING,)
            engine.scripts = ['foreign', 'misdirected']
            await self._send(deployment, 2, 'r')
            self.assertEqual(2, len(engine.requests))
            engine.added_headers = ()
            await anyio.sleep(2)
            await self._assert_served(deployment, 2, 'later')
            self.assertEqual(4, len(engine.requests))

        self._run(_scenario, engine_count=1)


class HoldOffTest(_SignalsTest):
    """Engines that turn a request away and want no other one for a while."""

    def test_every_unavailable_response_counts(self):
        """One 503 ends the new requests to its engine, run or not run.

        The same header of the other responses means nothing.
        """
        for script in ('not_run', 'unavailable'):

            async def _scenario(deployment, script=script):
                held_off, other = deployment.engines
                for engine in deployment.engines:
                    engine.added_headers = (_LONG,)
                held_off.scripts = [script]
                responses = await self._send(deployment, 12, 'r')
                self.assertEqual({200}, set(_statuses(responses)), script)
                self.assertEqual(1, len(held_off.requests), script)
                self.assertEqual(12, len(other.requests), script)

            self._run(_scenario)

    def test_end(self):
        """Requests wait for the end if that is in their time."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            engine.added_headers = ((b'retry-after', b'0.6'),)
            engine.scripts = ['not_run']
            began_at = anyio.current_time()
            await self._send(deployment, 1, 'first')
            self.assertEqual(1, len(engine.requests))
            await self._assert_served(deployment, 3, 'r')
            self.assertTrue(anyio.current_time() - began_at >= 0.6)
            self.assertEqual(4, len(engine.requests))

        self._run(_scenario, engine_count=1)

    def test_hopeless_requests(self):
        """Requests are refused at once if no engine is available in time.

        They are to return when the first one is.
        """

        async def _scenario(deployment):
            for engine in deployment.engines:
                engine.added_headers = (_LONG,)
                engine.scripts = ['not_run']
            await self._send(deployment, 1, 'both')
            # Each of them may start within 0.9 s.
            with anyio.fail_after(3):
                responses = await self._send(deployment, 6, 'r')
            for response in responses:
                self.assertEqual(503, response.status)
                self.assertEqual(b'2.000', response.headers[b'retry-after'])
            for engine in deployment.engines:
                self.assertEqual(1, len(engine.requests))

        self._run(_scenario)

    def test_earliest_end_is_told(self):
        """Callers return when the first engine wants requests again."""

        async def _scenario(deployment):
            first, second = deployment.engines
            first.added_headers = (_LONG,)
            second.added_headers = ((b'retry-after', b'1.5'),)
            for engine in deployment.engines:
                engine.scripts = ['not_run']
            responses = await self._send(deployment, 2, 'r')
            seconds = float(responses[1].headers[b'retry-after'])
            # Without hold-offs, it would be an eighth of 1.5 s. Callers are
            # spread over a twentieth of their time.
            self.assertTrue(0.4 < seconds < 1.7, seconds)
            await anyio.sleep(seconds)
            await self._assert_served(deployment, 3, 'again')
            self.assertEqual(1, len(first.requests))

        self._run(_scenario)

    def test_queued_requests(self):
        """A request that waits for the engine is refused at once."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            engine.added_headers = (_LONG,)
            engine.scripts = ['slow_not_run']
            deployment.store.put(engine.key, engine.registration(slots=1))
            await anyio.sleep(_WATCH_SECONDS)
            for name in ('running', 'queued'):
                deployment.send_later(
                    deployment.entries[0], b'x', name, path=_STREAM_PATH
                )
            # The queued request may start within 1.4 s.
            await anyio.sleep(1.1)
            responses = deployment.response_by_id.values()
            self.assertEqual([503, 503], _statuses(responses))
            self.assertEqual(1, len(engine.requests))

        self._run(
            _scenario, engine_count=1, create_engine=_create_drafts_engine
        )

    def test_request_that_may_have_run(self):
        """It is not refused as not run, since it may have run."""

        async def _scenario(deployment):
            for engine in deployment.engines:
                engine.added_headers = (_LONG,)
                engine.scripts = ['unavailable']
            responses = await self._send(deployment, 1, 'r')
            self.assertEqual([502], _statuses(responses))

        self._run(_scenario)

    def test_slow_response_while_all_others_hold_off(self):
        """A late response is awaited, since no other engine would take over.

        Guards against responses that were abandoned for a retry which was
        then refused.
        """

        async def _scenario(deployment):
            held_off, other = deployment.engines
            held_off.added_headers = (_LONG,)
            held_off.scripts = ['not_run']
            await self._assert_served(deployment, 1, 'first')
            other.scripts = ['slow']
            await self._assert_served(deployment, 1, 'late')

        self._run(_scenario)

    def test_paused_stream_while_all_others_hold_off(self):
        """A paused stream goes on, since no other engine would resume it.

        Guards against streams that were cut for a retry which was then refused.
        """

        async def _scenario(deployment):
            held_off, other = deployment.engines
            held_off.added_headers = (_LONG,)
            held_off.scripts = ['not_run']
            changes = {'path': _STREAM_PATH}
            await self._assert_served(deployment, 1, 'first', **changes)
            other.scripts = ['pausing']
            responses = await self._send(deployment, 1, 'paused', **changes)
            self.assertEqual(_STREAM, responses[0].body)

        self._run(_scenario, create_engine=_create_drafts_engine)

    def test_success_of_an_earlier_request(self):
        """A success that arrives later does not end the hold-off."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            engine.scripts = ['slow', 'not_run']
            engine.added_headers = (_LONG,)
            deployment.send_later(
                deployment.entries[0], b'x', 'earlier', path=_READ_PATH
            )
            await anyio.sleep(0.1)
            await self._send(deployment, 1, 'turned-away')
            await anyio.sleep(0.5)
            self.assertEqual(200, deployment.response_by_id['earlier'].status)
            responses = await self._send(deployment, 2, 'later')
            self.assertEqual([503, 503], _statuses(responses))
            self.assertEqual(2, len(engine.requests))

        self._run(_scenario, engine_count=1)

    def test_entries_are_independent(self):
        """An engine may want requests of one entry and none of another."""

        async def _scenario(deployment):
            held_off = deployment.engines[0]
            await self._prefer(deployment, held_off)
            held_off.added_headers = (_LONG,)
            held_off.scripts = ['not_run']
            await self._assert_served(deployment, 6, 'e0')
            self.assertEqual(1, len(held_off.requests))
            # Until then, a report may show a request at the engine.
            await anyio.sleep(_REPORT_SECONDS)
            await self._assert_served(deployment, 1, 'e1', entry_index=1)
            self.assertEqual(2, len(held_off.requests))

        self._run(_scenario, entry_count=2)

    def test_restart_under_the_same_identifier(self):
        """A later start gets requests at once."""

        async def _scenario(deployment):
            engine = deployment.engines[0]
            engine.added_headers = (_LONG,)
            engine.scripts = ['not_run']
            responses = await self._send(deployment, 2, 'before')
            self.assertEqual([503, 503], _statuses(responses))
            engine.restart()
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_served(deployment, 3, 'after')
            self.assertEqual(4, len(engine.requests))

        self._run(_scenario, engine_count=1)

    def test_store_away(self):
        """The hold-off lasts through an outage of the store."""

        async def _scenario(deployment):
            store = deployment.store
            held_off = deployment.engines[0]
            store.is_unavailable = True
            await anyio.sleep(_WATCH_SECONDS)
            held_off.added_headers = (_LONG,)
            held_off.scripts = ['not_run']
            await self._assert_served(deployment, 6, 'away')
            store.remove(held_off.key)
            store.is_unavailable = False
            await anyio.sleep(_WATCH_SECONDS)
            store.put(held_off.key, held_off.registration())
            await anyio.sleep(_WATCH_SECONDS)
            await self._assert_served(deployment, 6, 'back')
            self.assertEqual(1, len(held_off.requests))

        self._run(_scenario)
