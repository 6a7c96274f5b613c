"""State of sockets."""

import select
import socket


def is_readable(raw: socket.socket) -> bool:
    """Return whether a socket can be read, or accepts, without a wait.

    A connection that was closed can be read, too.
    """
    poller = select.poll()
    poller.register(raw, select.POLLIN)
    return bool(poller.poll(0))
