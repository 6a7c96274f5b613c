"""A TCP relay whose open connections can go silent for good."""

import contextlib
import socket
import threading

from benchmarks import launcher

_READ_BYTES = 65_536


class Relay:
    """Passes bytes on; after `silence` only new connections work."""

    def __init__(self, target):
        """Listen and accept connections in a thread."""
        ip, port = target.split(':')
        self.address = launcher.free_address()
        self.accepted = 0
        self._target = (ip, int(port))
        self._silenced = threading.Event()
        listen_ip, listen_port = self.address.split(':')
        self._listener = socket.create_server((listen_ip, int(listen_port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_connections(self):
        """Drop all that still comes over the open connections."""
        self._silenced.set()
        self._silenced = threading.Event()

    def close(self):
        """Stop accepting."""
        self._listener.close()

    def _accept(self):
        """Pair each connection with one to the target."""
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                self.accepted += 1
                server = socket.create_connection(self._target)
                for pair in ((client, server), (server, client)):
                    threading.Thread(
                        target=_copy,
                        args=(*pair, self._silenced),
                        daemon=True,
                    ).start()


def _copy(source, destination, silenced):
    """Pass bytes on until the end, or drop them once silent."""
    with contextlib.suppress(OSError):
        received = source.recv(_READ_BYTES)
        while received:
            if not silenced.is_set():
                destination.sendall(received)
            received = source.recv(_READ_BYTES)
        if not silenced.is_set():
            destination.shutdown(socket.SHUT_WR)
