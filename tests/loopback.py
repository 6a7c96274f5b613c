"""Addresses on loopback, in a block of ports that each process has alone."""

import itertools
import os
import socket

from nutmegtrail import models

# Below the range from which the kernel takes ports for outgoing connections:
# a port from that range may be in use before its server is started.
_FIRST_PORT = 18_000
_BLOCK_COUNT = 70
_PORTS_PER_BLOCK = 200


def free_address():
    """Return an address on which nothing listens."""
    for port in itertools.islice(_PORTS, _PORTS_PER_BLOCK):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return models.Address('127.0.0.1', port)
    raise AssertionError('no port of the block is free')


def claim_port_block(first_block):
    """Return a socket that claims a block of ports, and the others of it.

    A port that is free now may be the one that another process needs again
    when it restarts a server; the socket keeps others out of the block.
    """
    for number in range(_BLOCK_COUNT):
        block = (first_block + number) % _BLOCK_COUNT
        first_port = _FIRST_PORT + block * _PORTS_PER_BLOCK
        claim_socket = socket.socket()
        try:
            claim_socket.bind(('127.0.0.1', first_port))
        except OSError:
            claim_socket.close()
            continue
        claim_socket.listen()
        return claim_socket, range(
            first_port + 1, first_port + _PORTS_PER_BLOCK
        )
    raise AssertionError('all blocks of ports are claimed')


_CLAIM_SOCKET, _CLAIMED_PORTS = claim_port_block(os.getpid() % _BLOCK_COUNT)
_PORTS = itertools.cycle(_CLAIMED_PORTS)
