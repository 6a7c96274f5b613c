"""Addresses on loopback, in a block of ports that each process has alone."""

import itertools
import os
import socket

from nutmegtrail import models

# Below the range from which the kernel takes ports for outgoing connections:
# a port from that range may be in use before its server is started.
_FIRST_PORT = 18_000
_BLOCKS = 70
_BLOCK_PORTS = 200


def free_address():
    """Return an address on which nothing listens."""
    for port in itertools.islice(_PORTS, _BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return models.Address('127.0.0.1', port)
    raise AssertionError('no port of the block is free')


def claim_block(wanted):
    """Return a socket that claims a block of ports, and the others of it.

    A port that is free now may be the one that another process needs again
    when it restarts a server; the socket keeps others out of the block.
    """
    for number in range(_BLOCKS):
        block = (wanted + number) % _BLOCKS
        first = _FIRST_PORT + block * _BLOCK_PORTS
        claim = socket.socket()
        try:
            claim.bind(('127.0.0.1', first))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, range(first + 1, first + _BLOCK_PORTS)
    raise AssertionError('all blocks of ports are claimed')


_CLAIM, _OWN_PORTS = claim_block(os.getpid() % _BLOCKS)
_PORTS = itertools.cycle(_OWN_PORTS)
