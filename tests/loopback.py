"""Addresses on loopback."""

import socket

from nutmegtrail import models


def free_address():
    """Return an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return models.Address('127.0.0.1', probe.getsockname()[1])
