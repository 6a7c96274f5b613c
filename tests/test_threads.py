"""Threads of a process that imports the product."""

import subprocess
import sys

import testtools

_COUNT = """
import pathlib
import nutmegtrail.cli.main
import nutmegtrail.bootstrap.gateway
print(len(list(pathlib.Path('/proc/self/task').iterdir())))
"""


class ThreadsTest(testtools.TestCase):
    """Only the event loop has a thread."""

    # Guards against signals that a thread of a numerical library receives: after a
    # pause, an entry on a busy machine took requests that came after its SIGTERM.
    def test_no_other_thread(self):
        """The imports start no threads."""
        counted = subprocess.run(
            [sys.executable, '-c', _COUNT],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertEqual('1', counted.stdout.strip())
