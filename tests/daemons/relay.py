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
        self._silent = threading.Event()
        own_ip, own_port = self.address.split(':')
        self._listener = socket.create_server((own_ip, int(own_port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Drop all that still comes over the open connections."""
        self._silent.set()
        self._silent = threading.Event()

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
                        target=_pump,
                        args=(*pair, self._silent),
                        daemon=True,
                    ).start()


def _pump(source, sink, silent):
    """Pass bytes on until the end, or drop them once silent."""
    with contextlib.suppress(OSError):
        received = source.recv(_READ_BYTES)
        while received:
            if not silent.is_set():
                sink.sendall(received)
            received = source.recv(_READ_BYTES)
        if not silent.is_set():
            sink.shutdown(socket.SHUT_WR)
