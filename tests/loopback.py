"""Loopback addresses from a block of ports reserved for this process."""

import itertools
import os
import socket

from nutmegtrail import models

# Below the kernel's ephemeral port range: an outgoing connection could take
# a port from that range before its server is started.
_FIRST_PORT = 18_000
_BLOCK_COUNT = 70
_PORTS_PER_BLOCK = 200


def free_address():
    """Return a loopback address whose port is free."""
    for port in itertools.islice(_PORTS, _PORTS_PER_BLOCK):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return models.Address('127.0.0.1', port)
    raise AssertionError('all ports of the claimed block are in use')


def claim_port_block(first_block):
    """Claim a block of ports; return the claiming socket and the ports.

    The socket listens on the block's first port and keeps other processes
    out of the block. Without it, a process could take a port that another
    one needs again when it restarts a server.
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
    raise AssertionError('all port blocks are claimed by other processes')


_CLAIM_SOCKET, _CLAIMED_PORTS = claim_port_block(os.getpid() % _BLOCK_COUNT)
_PORTS = itertools.cycle(_CLAIMED_PORTS)
