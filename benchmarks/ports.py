"""Loopback ports from a block that this process has claimed."""

import itertools
import os
import socket
import typing

IP: typing.Final = '127.0.0.1'
# Below the kernel's ephemeral port range: an outgoing connection could take
# a port from that range before its server is started.
_FIRST_PORT: typing.Final = 18_000
_BLOCK_COUNT: typing.Final = 35
_PORTS_PER_BLOCK: typing.Final = 400


def free_port() -> int:
    """Return a port that is free now; raise OSError if there is none.

    Ports are given out in turn, so that one is not given out again soon.
    """
    for port in itertools.islice(_PORTS, _PORTS_PER_BLOCK):
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
            return port
    raise OSError('all ports of the claimed block are in use')


def claim_port_block(first_block: int) -> tuple[socket.socket, range]:
    """Claim a block of ports; return the claiming socket and the ports.

    The socket listens on the block's first port and keeps other processes
    out of the block. Without it, a process could take a port that another
    one has given out and not bound yet, or needs again for a restart.
    """
    for number in range(_BLOCK_COUNT):
        block = (first_block + number) % _BLOCK_COUNT
        first_port = _FIRST_PORT + block * _PORTS_PER_BLOCK
        claim_socket = socket.socket()
        try:
            claim_socket.bind((IP, first_port))
        except OSError:
            claim_socket.close()
            continue
        claim_socket.listen()
        return claim_socket, range(
            first_port + 1, first_port + _PORTS_PER_BLOCK
        )
    raise OSError('all port blocks are claimed by other processes')


_CLAIM_SOCKET, CLAIMED_PORTS = claim_port_block(os.getpid() % _BLOCK_COUNT)
_PORTS: typing.Final = itertools.cycle(CLAIMED_PORTS)
