"""Entries that are stopped as planned while callers go on."""

import itertools

import anyio
import testtools

from tests import simulated_time
from tests.platform import entries
from tests.platform import kept_connections
from tests.platform import lasting_engine

_ENGINES = 4
_VERSION = 9
_ROUTE_TIMEOUT_MS = 20_000
_CONFIGURED_SECONDS = 0.5
_CALM_SECONDS = 2
_INTERVAL_SECONDS = 0.2
_KEPT_CONNECTIONS = 5
_PIPELINED_SECONDS = 0.1
# A deadline in the grace period for requests that are sent 5 s after the signal.
_SHORT_DEADLINE_SECONDS = 2.5
_IN_TIME_SECONDS = 5
# From then on the durations of others let no request in.
_LATE_SECONDS = 2
_LATE_SENT_SECONDS = 3.2
# Callers of a stopped entry go on for longer than its grace period.
_AFTER_SECONDS = 0.5
# A request that crosses the close of its connection gets no response.
_CROSSING_SECONDS = 0.2
_NOT_RUN = 503
_UNKNOWN = 502


def _stream(seconds, **changes):
    """Return streams that last some seconds."""
    return kept_connections.Load(
        kept_connections.STREAM_PATH, seconds, **changes
    )


def _call(seconds, **changes):
    """Return calls that may run once and last some seconds."""
    return kept_connections.Load(kept_connections.ONCE_PATH, seconds, **changes)


class PlannedStopTest(testtools.TestCase):
    """Requests that arrive around the signal, on new and kept connections."""

    def _stop(self, *loads, grace_seconds=8, pipelined=(), late=()):
        """Stop an entry beside some loads and check all replies.

        Requests of the `late` loads are sent some seconds after the signal.
        Returns the replies of each load, and under None those to requests that
        are sent at once on a connection just before the signal.
        """
        replies_by_load = {}

        async def _scenario(deployment):
            entry = deployment.entries[0]
            await _prepare(deployment, grace_seconds)
            async with anyio.create_task_group() as tasks:
                for load in loads:
                    callers = kept_connections.Callers(entry, tasks, load.name)
                    replies_by_load[load] = callers.replies_by_id
                    tasks.start_soon(callers.arrive, load, _INTERVAL_SECONDS)
                    tasks.start_soon(_keep, callers, load, tasks)
                await anyio.sleep(_CALM_SECONDS)
                callers = kept_connections.Callers(entry, tasks, 'pipelined')
                replies_by_load[None] = callers.replies_by_id
                tasks.start_soon(callers.pipeline, pipelined)
                await anyio.sleep(_PIPELINED_SECONDS)
                self.stopped_at = anyio.current_time()
                for load in late:
                    callers = kept_connections.Callers(entry, tasks, load.name)
                    replies_by_load[load] = callers.replies_by_id
                    tasks.start_soon(_send_late, callers, load, tasks)
                await entry.stop()
                await anyio.sleep(_AFTER_SECONDS)
                tasks.cancel_scope.cancel()
            self.runs = [
                run.request_id
                for engine in deployment.engines
                for run in engine.runs
            ]

        entries.run(
            _scenario,
            _ENGINES,
            1,
            lasting_engine.create_engine,
            simulated_time.run,
        )
        replies = {
            load: tuple(replies_by_id.values())
            for load, replies_by_id in replies_by_load.items()
        }
        for replies_of_load in replies.values():
            self._check(replies_of_load)
        return replies

    def _check(self, replies):
        """Check that each request was answered or refused as not run."""
        for reply in replies:
            runs = self.runs.count(reply.request_id)
            moment = round(reply.sent_at_seconds - self.stopped_at, 2)
            told = (moment, reply)
            if reply.status == _NOT_RUN:
                self.assertEqual(0, runs, told)
            elif reply.status == _UNKNOWN:
                self.assertEqual(1, runs, told)
                self.assertTrue(moment < 0, told)
            elif reply.status:
                self.assertEqual(
                    (200, True), (reply.status, reply.is_whole), told
                )
            else:
                self.assertEqual(0, runs, told)
                self.assertTrue(reply.seconds < _CROSSING_SECONDS, told)

    def _late(self, replies, after_seconds, status):
        """Return the replies of a status sent so long after the signal."""
        return [
            reply
            for reply in replies
            if reply.status == status
            and reply.sent_at_seconds > self.stopped_at + after_seconds
        ]

    def test_long_requests_are_not_cut(self):
        """Requests too long for the rest of the grace period are refused.

        They used to be taken, and cut without an answer at its end.
        """
        streams = _stream(6)
        chunked = _stream(6.5, has_chunks=True)
        calls = _call(5.4)
        replies = self._stop(streams, chunked, calls)
        for load in (streams, chunked, calls):
            self.assertTrue(self._late(replies[load], 0, _NOT_RUN))

    def test_short_requests_are_served(self):
        """Requests that end within the grace period are served.

        Their deadline tells it, and early in the stop the durations of others.
        """
        for deadline_seconds, until_seconds, served_after_seconds in (
            (_SHORT_DEADLINE_SECONDS, _IN_TIME_SECONDS, 2),
            (12, _LATE_SECONDS, 1.5),
        ):
            streams = _stream(0.6, deadline_seconds=deadline_seconds)
            calls = _call(0.5, deadline_seconds=deadline_seconds)
            replies = self._stop(streams, calls)
            for load in (streams, calls):
                refused = self._late(replies[load], -9, _NOT_RUN)
                for reply in refused:
                    self.assertTrue(
                        reply.sent_at_seconds > self.stopped_at + until_seconds,
                        reply,
                    )
                self.assertTrue(
                    self._late(replies[load], served_after_seconds, 200)
                )

    # Guards against streams on kept connections that last longer than those
    # before them: they were taken late in the grace period, and cut at its end.
    def test_longer_requests_late_in_the_stop(self):
        """Late requests are refused unless their own limits end them."""
        usual = (_stream(0.6), _call(0.5))
        longer = (_stream(6), _call(5.4))
        replies = self._stop(*usual, late=longer)
        for load in longer:
            statuses = [reply.status for reply in replies[load]]
            self.assertEqual(
                [_NOT_RUN for _ in range(_KEPT_CONNECTIONS)], statuses
            )

    def test_new_connections_while_requests_run(self):
        """The entry is there for new connections while it has to wait.

        Where all entries stopped at once, callers found nobody while these
        waited for their last streams.
        """
        streams = _stream(6)
        calls = _call(0.1, deadline_seconds=_SHORT_DEADLINE_SECONDS)
        replies = self._stop(streams, calls)
        self.assertTrue(self._late(replies[calls], 4, 200))

    def test_cut_calls_have_run(self):
        """A call that is cut after its response has begun may have run.

        It was refused as not run (REFUSED).
        """
        calls = _call(30, deadline_seconds=40, has_early_head=True)
        replies = self._stop(calls)
        cut = [reply for reply in replies[calls] if reply.status == _UNKNOWN]
        self.assertTrue(cut)

    def test_short_grace(self):
        """The grace period may be shorter than the balancer's reaction."""
        streams = _stream(1.2)
        calls = _call(0.1)
        replies = self._stop(streams, calls, grace_seconds=3)
        for load in (streams, calls):
            self.assertTrue(self._late(replies[load], 0, 200))

    def test_pipelined_requests(self):
        """Requests behind others on a connection are not dropped.

        The first response is under way when the entry stops, and ends at a
        time that leaves enough for a part of the others only.
        """
        replies = self._stop(
            _stream(0.6), pipelined=itertools.repeat(_stream(1.8), 6)
        )
        statuses = [reply.status for reply in replies[None]]
        self.assertEqual([200, 200], statuses[:2])
        self.assertEqual([_NOT_RUN, _NOT_RUN], statuses[-2:])


async def _keep(callers, load, tasks):
    """Open connections that are kept, one after the other."""
    for _ in range(_KEPT_CONNECTIONS):
        tasks.start_soon(callers.keep, load)
        await anyio.sleep(_INTERVAL_SECONDS)


async def _send_late(callers, load, tasks):
    """Send requests some seconds after the signal."""
    await anyio.sleep(_LATE_SENT_SECONDS)
    for _ in range(_KEPT_CONNECTIONS):
        tasks.start_soon(callers.once, load)


async def _prepare(deployment, grace_seconds):
    """Configure long timeouts and the grace period of the entry."""
    deployment.configure(_VERSION, timeout_ms=_ROUTE_TIMEOUT_MS)
    entry = deployment.entries[0]
    entry.kill()
    entry.grace_seconds = grace_seconds
    await entry.start()
    await anyio.sleep(_CONFIGURED_SECONDS)
