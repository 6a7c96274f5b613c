"""Addresses on loopback."""

import itertools
import os
import socket

from nutmegtrail import models

# Below the range from which the kernel takes ports for outgoing connections:
# a port from that range may be in use before its server is started.
_FIRST_PORT = 18_000
_PORTS = 14_000
_OFFSETS = itertools.count(os.getpid() * 97)


def free_address():
    """Return an address on which nothing listens."""
    for offset in _OFFSETS:
        port = _FIRST_PORT + offset % _PORTS
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return models.Address('127.0.0.1', port)
    raise AssertionError('no port is free')
