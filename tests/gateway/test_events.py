"""Events are passed on whole, in order and once."""

import hypothesis
import hypothesis.strategies as strategies
import testtools

from nutmegtrail.gateway import events


def _event(number):
    """Return an event with a number."""
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class EventsTest(testtools.TestCase):
    """Cutting and resuming of streams."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 200)))
    def test_any_cuts(self, cuts):
        """Events come out whole however the bytes are cut."""
        sent = b''.join(_event(number) for number in range(8))
        splitter = events.Splitter()
        got = []
        borders = sorted({0, len(sent), *(cut % len(sent) for cut in cuts)})
        for start, end in zip(borders, borders[1:]):
            got.extend(splitter.feed(sent[start:end]))
        self.assertEqual([_event(number) for number in range(8)], got)
        self.assertFalse(splitter.has_partial_event)

    def test_cut_inside_an_event(self):
        """A part of an event is noticed and not handed out."""
        splitter = events.Splitter()
        self.assertEqual((_event(1),), splitter.feed(_event(1) + b'id: 2\nda'))
        self.assertTrue(splitter.has_partial_event)

    def test_resumed_run_repeats(self):
        """Events that the caller has are left out."""
        repeated = (_event(3), _event(4), _event(5))
        advance = events.select_new_events(events.Position(4), repeated)
        self.assertEqual(_event(5), advance.payload)
        self.assertEqual(5, advance.position.last_event)
        self.assertFalse(advance.has_gap)

    def test_gap(self):
        """A missing event ends the stream before those after it."""
        advance = events.select_new_events(
            events.Position(4), (_event(5), _event(7))
        )
        self.assertEqual(_event(5), advance.payload)
        self.assertTrue(advance.has_gap)
