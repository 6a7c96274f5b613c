"""Record of what was sent, answered and run."""

import time


class Record:
    """Lines with the seconds since the start, kept for `record.txt`."""

    def __init__(self, path):
        """Initialize an empty record."""
        self._path = path
        self._begun_at = time.monotonic()
        self._lines = []

    @property
    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._begun_at

    def note(self, text):
        """Add a line."""
        self._lines.append(f'{self.now:8.3f} {text}')

    def save(self):
        """Write the record."""
        self._path.write_text('\n'.join((*self._lines, '')))
