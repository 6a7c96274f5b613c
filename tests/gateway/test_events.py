"""Tests that events are forwarded complete, in order and once."""

import hypothesis
import hypothesis.strategies as strategies
import testtools

from nutmegtrail.gateway import events


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

    def test_resumed_stream_repeats_events(self):
        """Events that the caller already has are dropped."""
        repeated = (_event(3), _event(4), _event(5))
        new_events = events.select_new_events(events.Position(4), repeated)
        self.assertEqual(_event(5), new_events.payload)
        self.assertEqual(5, new_events.position.last_event)
        self.assertFalse(new_events.has_gap)

    def test_gap(self):
        """Events after a missing one are not forwarded."""
        new_events = events.select_new_events(
            events.Position(4), (_event(5), _event(7))
        )
        self.assertEqual(_event(5), new_events.payload)
        self.assertTrue(new_events.has_gap)
