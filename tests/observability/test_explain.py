"""Tests of diagnosing a request from its log lines."""

import json

import testtools

from nutmegtrail.observability import explain

_START = 1_786_908_150.0


def _line(after_seconds, message_type, **fields):
    """Return a log line as stored by a log collector."""
    document = {
        **fields,
        'timestamp': _START + after_seconds,
        'message_type': message_type,
    }
    return f'  {after_seconds} entry-1 {json.dumps(document)}\n'


def _end_line(after_seconds, **fields):
    """Return the last log line of request r1."""
    end_fields = {
        'request_id': 'r1',
        'outcome': 'answered',
        'status': 200,
        'seconds': after_seconds,
        'choices': [{'upstream': 'i-1', 'after_seconds': 0.01}],
        'first_event_seconds': 0.2,
        'longest_pause_seconds': 0.09,
        **fields,
    }
    return _line(after_seconds, 'request:ended', **end_fields)


class ExplainTest(testtools.TestCase):
    """Timelines and causes of requests."""

    def _cause(self, *lines):
        """Return the cause found for request r1."""
        timeline = explain.explain('entry-1.log', lines, 'r1')
        return timeline.cause

    def test_other_requests_are_excluded(self):
        """A timeline has lines of the request and of the process around it."""
        lines = (
            _line(-9, 'store:lost', prefix='op/'),
            _line(-0.5, 'store:lost', prefix='servers/'),
            _line(0.1, 'attempt:failed', request_id='r2'),
            _line(0.2, 'upstream:removed', upstream='i-4'),
            _end_line(0.4),
            _line(0.5, 'store:regained', prefix='servers/'),
        )
        timeline = explain.explain('entry-1.log', lines, 'r1')
        self.assertEqual(
            ['store:lost', 'upstream:removed', 'request:ended'],
            [event.name for event in timeline.events],
        )
        self.assertAlmostEqual(-0.5, timeline.events[0].after_seconds, 3)
        text = explain.describe(timeline)
        self.assertTrue(text.splitlines()[-1].startswith('cause: '), text)

    def test_unknown_request(self):
        """A file without the request has no timeline."""
        lines = ('not a log line\n', '{"broken"\n', _end_line(0.4))
        self.assertIsNone(explain.explain('entry-1.log', lines, 'r9'))

    def test_rejected_without_free_upstream(self):
        """The cause of a refusal gives its reason and the queue length."""
        rejected = _line(
            1.2,
            'request:rejected',
            request_id='r1',
            reason='no free upstream',
            waiting=31,
            retry_after_seconds=0.8,
        )
        self.assertEqual(
            'no free upstream; 31 requests waited',
            self._cause(rejected, _end_line(1.2, status=503)),
        )

    def test_domain_out_of_service(self):
        """The cause names upstreams that got no requests by operators."""
        withdrawn = _line(
            0.1,
            'attempt:failed',
            request_id='r1',
            upstream='i-1',
            failure='Withdrawn',
            out_of_service=True,
            action='Repeat',
        )
        rejected = _line(
            0.2,
            'request:rejected',
            request_id='r1',
            reason='no free upstream',
            waiting=3,
            out_of_service_upstreams=24,
        )
        self.assertEqual(
            'no free upstream; 3 requests waited, 24 upstreams were in failure '
            'domains out of service; before that Withdrawn at i-1 (out of '
            'service) (then Repeat)',
            self._cause(withdrawn, rejected, _end_line(0.2, status=503)),
        )

    def test_rejected_because_of_its_upstreams(self):
        """What kept upstreams from taking the request is named."""
        rejected = _line(
            0.1,
            'request:rejected',
            request_id='r1',
            reason='no free upstream',
            waiting=3,
        )
        text = 'no free upstream; 3 requests waited'
        cases = (
            (
                'attempt:no-upstream',
                {'allowed_domains': ['a1', 'a2']},
                '; its regions allow only the failure domains: a1, a2',
            ),
            ('attempt:no-upstream', {'allowed_domains': None}, ''),
            (
                'attempt:not-placed',
                {'cold_upstreams': 24},
                '; 24 upstreams were cold',
            ),
            ('attempt:not-placed', {'cold_upstreams': 0}, ''),
        )
        for name, fields, restriction in cases:
            line = _line(0, name, request_id='r1', **fields)
            self.assertEqual(
                f'{text}{restriction}', self._cause(line, rejected)
            )

    def test_refused_by_urgency(self):
        """The cause of a refusal names the priority and the expected wait."""
        rejected = _line(
            1.2,
            'request:rejected',
            request_id='r1',
            reason='no free upstream',
            waiting=31,
            priority=2,
            expected_wait_seconds=0.8,
        )
        self.assertEqual(
            'no free upstream; 31 requests waited; priority 2, '
            'room expected in 0.8 s',
            self._cause(rejected, _end_line(1.2, status=503)),
        )

    def test_room_of_a_slow_request(self):
        """The cause of a slow response names the load and room of its group."""
        choices = [
            {
                'upstream': 'i-1',
                'after_seconds': 1.2,
                'group_in_flight': 96,
                'group_room': 80.5,
            }
        ]
        cause = self._cause(_end_line(4, choices=choices, priority=1))
        self.assertIn('(priority 1, 96 requests in its group, ', cause)
        self.assertIn('room for 80.5)', cause)

    def test_lost_booking_response(self):
        """The failed attempt is the cause if it must not be repeated."""
        failed = _line(
            0.3,
            'attempt:failed',
            request_id='r1',
            upstream='d-1',
            failure='Broken',
            action='GiveUp',
        )
        self.assertEqual(
            'status 502 after Broken at d-1 (then GiveUp)',
            self._cause(failed, _end_line(0.3, status=502)),
        )

    def test_slow_due_to_long_pause(self):
        """The cause of a slow response names the longest phase and upstream."""
        cause = self._cause(_end_line(4, longest_pause_seconds=1.4))
        self.assertIn('in the longest pause between events: 1.400 s', cause)
        self.assertIn('i-1', cause)

    def test_slow_due_to_queueing(self):
        """The cause of a slow response names the time in the queue."""
        choices = [{'upstream': 'i-1', 'after_seconds': 1.2}]
        cause = self._cause(
            _end_line(4, choices=choices, first_event_seconds=1.4)
        )
        self.assertIn('in the line for an upstream: 1.200 s', cause)

    def test_client_disconnected(self):
        """Without a response or a failure, the client left."""
        cause = self._cause(_end_line(2, outcome='cut', status=0, choices=[]))
        self.assertEqual(
            'the caller left while the request waited for an upstream',
            cause,
        )

    def test_stream_without_place_to_resume(self):
        """A stream that was cut names its failure and the missing place."""
        failed = _line(
            1.3,
            'attempt:failed',
            request_id='r1',
            upstream='i-1',
            failure='Broken',
            action='Repeat',
        )
        not_placed = _line(
            1.4, 'attempt:not-placed', request_id='r1', waited_seconds=0.1
        )
        self.assertEqual(
            'cut after Broken at i-1 (then Repeat), '
            'no upstream was free within 0.1 s',
            self._cause(failed, not_placed, _end_line(1.4, outcome='cut')),
        )

    def test_killed_process(self):
        """A request without its last log line is reported as unfinished."""
        failed = _line(0.3, 'attempt:failed', request_id='r1')
        self.assertIn('the process ended', self._cause(failed))

    def test_quarantined_copy(self):
        """A refused copy is explained by the crashes of earlier copies."""
        interrupted = [
            _line(
                -40 + number,
                'request:interrupted',
                request_id=f'copy-{number}',
                fingerprint='f1',
                upstream=f'd-{number}',
                evidence='probe',
            )
            for number in range(3)
        ]
        other = _line(
            -30,
            'request:interrupted',
            request_id='r7',
            fingerprint='f2',
            upstream='d-9',
        )
        rejected = _line(
            0.0,
            'request:rejected',
            request_id='r1',
            reason='quarantined',
            waiting=0,
            crashes=3,
        )
        end = _end_line(0.0, status=503, choices=[], fingerprint='f1')
        lines = (*interrupted, other, rejected, end)
        fingerprint = explain.find_fingerprint(lines, 'r1')
        timeline = explain.explain('entry-1.log', lines, 'r1', fingerprint)
        self.assertEqual(
            'quarantined: it, copies of it or a part of its prompt were in '
            'flight at 3 crashes of '
            'upstreams',
            timeline.cause,
        )
        self.assertEqual(5, len(timeline.events))
        elsewhere = explain.explain('2.log', interrupted, 'r1', fingerprint)
        self.assertEqual(
            'copies of the request: crashed with it in flight: '
            'd-0 (probe), d-1 (probe), d-2 (probe)',
            elsewhere.cause,
        )

    def test_crash_that_is_detected_after_the_end(self):
        """The crash is named although its line follows the last one."""
        failed = _line(
            0.3,
            'attempt:failed',
            request_id='r1',
            upstream='d-1',
            failure='Broken',
            action='GiveUp',
        )
        interrupted = _line(
            0.4,
            'request:interrupted',
            request_id='r1',
            upstream='d-1',
            evidence='restart',
        )
        self.assertEqual(
            'status 502 after Broken at d-1 (then GiveUp); crashed with it in '
            'flight: d-1 (restart)',
            self._cause(failed, _end_line(0.3, status=502), interrupted),
        )
