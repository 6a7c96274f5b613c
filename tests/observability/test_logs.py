"""Tests of the rate limit and non-blocking writes of log lines."""

import io
import os

import testtools

from nutmegtrail.observability import logs


def _render(message):
    """Return the number of a message and the count of lines dropped before."""
    dropped = message.get('lines_dropped_before', 0)
    return f'{message["number"]}/{dropped}'


class BoundedDestinationTest(testtools.TestCase):
    """Excessive log rates and blocked readers."""

    def setUp(self):
        """Set up a clock that the test advances."""
        super().setUp()
        self.now = 0.0

    def _destination(self, stream, rate):
        """Return a destination that uses the test clock."""
        return logs.BoundedDestination(
            stream,
            _render,
            rate,
            lambda: self.now,
        )

    def test_rate_limit(self):
        """One second of lines passes; the next line counts the dropped ones."""
        stream = io.StringIO()
        destination = self._destination(stream, 3)
        for number in range(10):
            destination({'number': number})
        self.now = 0.4
        destination({'number': 10})
        lines = stream.getvalue().splitlines()
        self.assertEqual(['0/0', '1/0', '2/0', '10/7'], lines)

    def test_blocked_reader(self):
        """A full pipe drops lines instead of blocking."""
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
