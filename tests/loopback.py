"""Loopback addresses from the block of ports reserved for this process."""

from benchmarks import ports
from nutmegtrail import models


def free_address():
    """Return a loopback address whose port is free."""
    return models.Address(ports.IP, ports.free_port())
