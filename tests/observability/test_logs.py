"""Log lines are bounded and never block."""

import io
import os

import testtools

from nutmegtrail.observability import logs


def _render(message):
    """Return a message's number and what was dropped before it."""
    dropped = message.get('lines_dropped_before', 0)
    return f'{message["number"]}/{dropped}'


class BoundedDestinationTest(testtools.TestCase):
    """A flood of lines, and a reader that does not read."""

    def setUp(self):
        """Start a clock by hand."""
        super().setUp()
        self.now = 0.0

    def _destination(self, stream, rate):
        """Return a destination on the clock."""
        return logs.BoundedDestination(
            stream,
            _render,
            rate,
            lambda: self.now,
        )

    def test_rate(self):
        """A second's lines pass; the next line counts what was dropped."""
        stream = io.StringIO()
        destination = self._destination(stream, 3)
        for number in range(10):
            destination({'number': number})
        self.now = 0.4
        destination({'number': 10})
        lines = stream.getvalue().splitlines()
        self.assertEqual(['0/0', '1/0', '2/0', '10/7'], lines)

    def test_reader_that_does_not_read(self):
        """A full pipe costs lines, not time."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        with os.fdopen(writer, 'w') as stream:
            destination = self._destination(stream, 100_000)
            for number in range(50_000):
                destination({'number': number})
            received = os.read(reader, 1_000_000)
            destination({'number': 50_000})
        dropped = 50_000 - len(received.splitlines())
        self.assertTrue(dropped > 0)
        last = os.read(reader, 1_000).decode().strip()
        self.assertEqual(f'50000/{dropped}', last)
