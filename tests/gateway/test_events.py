"""Tests that events are forwarded complete, in order and once."""

import time
import tracemalloc

import hypothesis
import hypothesis.strategies as strategies
import testtools

from nutmegtrail.adapters.http1 import errors
from nutmegtrail.gateway import const
from nutmegtrail.gateway import events

_ENDLESS_BYTES = 67_108_864
_MEMORY_BYTES = 1_048_576
_PROCESSOR_SECONDS = 4


def _event(number):
    """Return an event with a number."""
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class EventsTest(testtools.TestCase):
    """Splitting and resumption of streams."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 200)))
    def test_events_at_any_split(self, split_points):
        """Events are complete at any split of the received bytes."""
        sent = b''.join(_event(number) for number in range(8))
        splitter = events.Splitter()
        received = []
        boundaries = sorted(
            {
                0,
                len(sent),
                *(split_point % len(sent) for split_point in split_points),
            }
        )
        for start, end in zip(boundaries, boundaries[1:]):
            received.extend(splitter.feed(sent[start:end]))
        self.assertEqual([_event(number) for number in range(8)], received)
        self.assertFalse(splitter.has_partial_event)

    def test_partial_event(self):
        """An incomplete event is detected and not returned."""
        splitter = events.Splitter()
        self.assertEqual((_event(1),), splitter.feed(_event(1) + b'id: 2\nda'))
        self.assertTrue(splitter.has_partial_event)

    def test_rest_of_stream(self):
        """Text without its blank line is an incomplete event."""
        cases = {
            b'i': True,
            b'id:2': True,
            b'id: 2\ndata: x\n': True,
            b' ': True,
            b'\n': False,
            b'\r\n': False,
        }
        for rest, is_partial in cases.items():
            splitter = events.Splitter()
            splitter.feed(_event(1) + rest)
            self.assertEqual(is_partial, splitter.has_partial_event, rest)

    def test_carriage_returns(self):
        """Lines may end with a carriage return and a line feed.

        Such events used to be held back, and their stream to be broken off.
        """
        sent = [
            _event(number).replace(b'\n', b'\r\n') for number in range(1, 4)
        ]
        for size in range(1, 2 * len(sent[0])):
            joined = b''.join(sent)
            splitter = events.Splitter()
            received = []
            for start in range(0, len(joined), size):
                received.extend(splitter.feed(joined[start : start + size]))
            self.assertEqual(sent, received)
            self.assertFalse(splitter.has_partial_event)
        new_events = events.select_new_events(events.Position(1), tuple(sent))
        self.assertEqual(sent[1] + sent[2], new_events.payload)

    def test_endless_event(self):
        """An event is refused once it exceeds its limit.

        It used to be kept and searched again with each part of it.
        """
        for size in (1_000, 65_536):
            part = b'x' * size
            splitter = events.Splitter()
            fed = 0
            tracemalloc.start()
            try:
                while fed < _ENDLESS_BYTES:
                    splitter.feed(part)
                    fed += size
            except errors.ExchangeBroken:
                self.assertTrue(splitter.has_partial_event)
            finally:
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
            self.assertTrue(fed <= const.EVENT_LIMIT_BYTES, fed)
            self.assertTrue(peak < _MEMORY_BYTES, peak)

    def test_long_event_in_small_parts(self):
        """The time to split a long event grows with its length only."""
        event = b'id: 1\ndata: %b\n\n' % (b'\n:' * 100_000)
        splitter = events.Splitter()
        started_at = time.process_time()
        received = []
        for _ in range(3):
            for start in range(0, len(event), 2):
                received.extend(splitter.feed(event[start : start + 2]))
        seconds = time.process_time() - started_at
        self.assertEqual([event, event, event], received)
        self.assertTrue(seconds < _PROCESSOR_SECONDS, seconds)

    def test_event_over_limit(self):
        """The limit holds however an event is split."""
        longest = b':%b\n\n' % (b'x' * (const.EVENT_LIMIT_BYTES - 3))
        for size in (1_000, 65_536, len(longest) + 1):
            for event in (longest, b':' + longest):
                splitter = events.Splitter()
                received = []
                try:
                    for start in range(0, len(event), size):
                        received.extend(
                            splitter.feed(event[start : start + size])
                        )
                except errors.ExchangeBroken:
                    received.append('refused')
                is_refused = len(event) > const.EVENT_LIMIT_BYTES
                expected = 'refused' if is_refused else event
                self.assertEqual([expected], received)

    def test_endless_identifier(self):
        """An identifier with too many digits is none.

        Its conversion used to fail the request: Python converts no text of
        over 4,300 digits.
        """
        for digits in (20, 5_000):
            event = b'id: %b\n\n' % (b'9' * digits)
            self.assertIsNone(events.event_id(event))

    def test_resumed_stream_repeats_events(self):
        """Events that the caller already has are dropped."""
        repeated = (_event(3), _event(4), _event(5))
        new_events = events.select_new_events(events.Position(4), repeated)
        self.assertEqual(_event(5), new_events.payload)
        self.assertEqual(5, new_events.position.last_event)
        self.assertEqual('', new_events.fault)

    def _select(self, *runs):
        """Return what is forwarded of each run, and the fault that ends it."""
        position = events.Position()
        selected = []
        for numbers in runs:
            run = events.Run(asked_after=position.last_event)
            forwarded = ()
            for number in numbers:
                new_events = events.select_new_events(
                    position, (_event(number),), run
                )
                position, run = new_events.position, new_events.run
                if new_events.payload:
                    forwarded += (number,)
                if new_events.fault:
                    break
            selected.append((forwarded, new_events.fault))
        return selected

    def test_numbers_with_gaps(self):
        """Numbers that only increase used to break a stream off."""
        whole = (3, 4, 9, 10, 12, 40)
        self.assertEqual([(whole, '')], self._select(whole))
        for end in (1, 2, 3, 4, 5):
            expected = [(whole[:end], ''), (whole[end:], '')]
            repeated = (whole, whole[end - 1 :])
            # Two consecutive numbers and no other: see test_gap_between_runs.
            exact = () if end == 2 else (whole[end:],)
            for rest in (*repeated, *exact):
                self.assertEqual(expected, self._select(whole[:end], rest))

    def test_gap_between_runs(self):
        """Events lost between two responses are not skipped.

        They are known to be lost if the numbers were consecutive, or if the
        next response has earlier events but not the last one.
        """
        for first, second in (
            ((1, 2), (9,)),
            ((4, 5, 6), (9, 10)),
            ((1, 2, 4), (2, 7)),
            ((1, 3), (2, 9)),
        ):
            self.assertEqual(
                [(first, ''), ((), 'missing event')],
                self._select(first, second),
            )

    def test_repeated_number(self):
        """Numbers of one response that do not increase are a fault."""
        for numbers in ((5, 6, 6), (5, 6, 5), (5, 6, 1, 7)):
            self.assertEqual(
                [((5, 6), 'repeated event')], self._select(numbers)
            )
        self.assertEqual(
            [((1, 2, 3), ''), ((4,), 'repeated event')],
            self._select((1, 2, 3), (2, 3, 4, 4)),
        )
