"""Tests of the state of a request."""

import testtools

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.adapters.http1 import server
from nutmegtrail.gateway import jobs
from nutmegtrail.gateway import models
from tests.gateway import samples


def _job():
    """Return a request for a stream that was received at time 0."""
    request = messages.Request(b'POST', b'/a/b', (), b'', keep_alive=True)
    caller = models.CallerRequest('r1', 'example', '/a/b', 'key-1', 8.0, None)
    return jobs.Job(
        server.Exchange(request, None, 0, bool),
        caller,
        samples.route(models.RouteKind.STREAM),
        models.Account('agency', 3),
        7,
    )


class RetryAfterTest(testtools.TestCase):
    """Delay as a share of the caller's remaining time."""

    def test_bounds(self):
        """Clients wait for at most a third of their remaining time."""
        self.assertEqual(1.0, jobs.retry_after_seconds(8))
        self.assertEqual(0.1, jobs.retry_after_seconds(0.4))
        self.assertEqual(2.0, jobs.retry_after_seconds(60))

    def test_spread(self):
        """Callers that are refused together come back at different times."""
        delays = [
            jobs.retry_after_seconds(8, spread=number / 8)
            for number in range(9)
        ]
        self.assertEqual(sorted(set(delays), reverse=True), delays)
        self.assertAlmostEqual(0.6, delays[-1])

    def test_spread_over_a_long_wait(self):
        """Load pattern `burst`: callers do not come back in one wave.

        The longer the wait for room, the longer the time over which they come
        back.
        """
        for wait_seconds in (0.6, 1.2):
            delays = [
                jobs.retry_after_seconds(
                    4, wait_seconds, number / 9, wait_seconds
                )
                for number in range(10)
            ]
            self.assertEqual(wait_seconds, delays[0])
            self.assertAlmostEqual(1.5 * wait_seconds, delays[-1])

    def test_spread_over_a_hold_off(self):
        """Nobody waits longer because an upstream holds requests off longer."""
        for wait_seconds in (0.6, 1.2):
            latest = jobs.retry_after_seconds(4, wait_seconds, spread=1)
            self.assertAlmostEqual(wait_seconds + 0.2, latest)

    def test_end_of_hold_offs(self):
        """Without an upstream that takes requests, callers return when one does.

        The bounds are the same. They return at different times, none before
        the upstream takes requests.
        """
        delays = [
            jobs.retry_after_seconds(8, 0.7, spread=number / 4)
            for number in range(5)
        ]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertEqual(0.7, delays[0])
        self.assertAlmostEqual(1.1, delays[-1])
        self.assertEqual(0.7, jobs.retry_after_seconds(8, 0.7))
        self.assertEqual(1.3, jobs.retry_after_seconds(0.4, 1.3))
        self.assertEqual(0.1, jobs.retry_after_seconds(8, 0.01))
        self.assertEqual(2.0, jobs.retry_after_seconds(8, 30))


class QueuedRequestTest(testtools.TestCase):
    """Limits of a request in the queue."""

    def test_first_event(self):
        """Before its first event a stream has the limits of the route."""
        queued = _job().queued_request(is_suspect=False)
        self.assertEqual(0.4, queued.objective_deadline_seconds)
        self.assertEqual(1.4, queued.latest_start_seconds)
        self.assertFalse(queued.is_resumed)

    def test_resumption(self):
        """A stream that is resumed may wait until its caller abandons it.

        It had the limits of the first event, which are over by then.
        """
        job = _job()
        job.delivery = job.delivery._replace(has_sent_events=True)
        job.last_event_at_seconds = 3.0
        queued = job.queued_request(is_suspect=False)
        self.assertEqual(5.0, queued.latest_start_seconds)
        self.assertTrue(queued.is_resumed)
        job.last_event_at_seconds = 7.5
        queued = job.queued_request(is_suspect=False)
        self.assertEqual(8.0, queued.latest_start_seconds)

    def test_queue_ids(self):
        """Attempts that run at the same time are queued under other IDs."""
        job = _job()
        queue_ids = {
            job.queued_request(is_suspect=False).request_id for _ in range(3)
        }
        self.assertEqual(3, len(queue_ids))


class LatenessTest(testtools.TestCase):
    """What counts as late, by the objectives of the route."""

    def test_streams(self):
        """A stream is late with its first event or with a long pause."""
        for first_event, pause, expected in (
            (0.3, 0.1, False),
            (0.5, 0.1, True),
            (0.3, 0.2, True),
            (None, 0, True),
        ):
            job = _job()
            job.first_event_seconds = first_event
            job.longest_pause_seconds = pause
            self.assertEqual(expected, job.is_late(9))

    def test_responses(self):
        """Another response is late after its objective."""
        job = _job()
        job.route = samples.route()
        self.assertFalse(job.is_late(0.3))
        self.assertTrue(job.is_late(0.5))


class WorkTest(testtools.TestCase):
    """Work of a request, from its token counts and the step times."""

    def test_work(self):
        """Without step times or token counts, a request is usual."""
        times = models.StepTimes(0.02, 0.002, 61_400, 800, 95)
        job = _job()
        self.assertEqual(1, job.queued_request(is_suspect=False).work)
        job.step_times = times
        self.assertEqual(1, job.queued_request(is_suspect=False).work)
        job.caller = job.caller._replace(prompt_tokens=1_600, output_tokens=190)
        queued = job.queued_request(is_suspect=False)
        self.assertAlmostEqual(2, queued.work)
