"""Sizes and timeouts of the HTTP/1.1 adapter."""

import typing

RECEIVE_BYTES: typing.Final = 65_536
LISTEN_BACKLOG: typing.Final = 1_024

# A client may pipeline; more than this waits in the socket.
PIPELINED_REQUESTS_LIMIT: typing.Final = 4

# Peers of a region accept within milliseconds, and some callers wait for
# 0.6 s only; a lost opening packet is not sent again before a second.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.3
CLIENT_WRITE_TIMEOUT_SECONDS: typing.Final = 10.0

# Keep-alive probes find a peer that has gone silent within three seconds,
# the shortest time in which the platform counts a host as in touch again.
KEEP_ALIVE_IDLE_SECONDS: typing.Final = 1
KEEP_ALIVE_INTERVAL_SECONDS: typing.Final = 1
KEEP_ALIVE_PROBES: typing.Final = 2
USER_TIMEOUT_MILLISECONDS: typing.Final = 3_000

# A kept connection is not used in the last part of the peer's timeout.
IDLE_MARGIN_SECONDS: typing.Final = 0.5
MAX_IDLE_CONNECTIONS_PER_ADDRESS: typing.Final = 8

HOP_BY_HOP: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
