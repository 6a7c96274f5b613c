"""Sizes and timeouts of the HTTP/1.1 adapter."""

import typing

RECEIVE_BYTES: typing.Final = 65_536
# Larger payloads are sent in parts, since the transport copies what waits.
SEND_BYTES: typing.Final = 65_536
JSON_RESPONSE_LIMIT_BYTES: typing.Final = 16_777_216
# A connection sends one payload at a time: an event of a stream is too small to
# be worth counting.
UNCOUNTED_BYTES: typing.Final = 4_096
# What a header keeps beside its text.
HEADER_OVERHEAD_BYTES: typing.Final = 96
# Of lengths that fit into 64 bits.
LENGTH_DIGITS_LIMIT: typing.Final = 20
JSON_RESPONSES_LIMIT_BYTES: typing.Final = 25_165_824
LISTEN_BACKLOG: typing.Final = 1_024
ACCEPT_RETRY_SECONDS: typing.Final = 0.05
ACCEPT_PENDING_SECONDS: typing.Final = 0.02

# Of interim responses, status line, headers, chunk sizes, chunk extensions and
# trailers without any part of the body between them. The parser has no limit.
RESPONSE_FRAMING_LIMIT_BYTES: typing.Final = 65_536

# Further pipelined requests wait in the socket buffer.
PIPELINED_REQUESTS_LIMIT: typing.Final = 4

# Peers in the same region accept connections within milliseconds, and some
# callers wait for 0.6 s only. Waiting longer for a lost SYN does not help,
# because it is not retransmitted within a second.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.3
CLIENT_WRITE_TIMEOUT_SECONDS: typing.Final = 10.0
# Connections of one server without any byte of a request.
SILENT_CONNECTIONS_LIMIT: typing.Final = 1_024
# Longer than a response and the next request of a client are under way.
CROSSING_SECONDS: typing.Final = 0.1
OPEN_REQUESTS_POLL_SECONDS: typing.Final = 0.02
ARRIVED_BYTES_TIMEOUT_SECONDS: typing.Final = 0.001

# The process waits for these responses before it exits.
CANCELLED_RESPONSE_TIMEOUT_SECONDS: typing.Final = 0.1

# TCP keep-alive probes detect an unresponsive peer within three seconds, the
# shortest time after which the platform counts a host as connected again.
KEEP_ALIVE_IDLE_SECONDS: typing.Final = 1
KEEP_ALIVE_INTERVAL_SECONDS: typing.Final = 1
KEEP_ALIVE_PROBES: typing.Final = 2
USER_TIMEOUT_MILLISECONDS: typing.Final = 3_000

# An idle connection is not reused this close to the peer's timeout, because
# the peer may close it while the request is sent.
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
# A connection with more refusals is closed.
MAX_REFUSALS_PER_CONNECTION: typing.Final = 64

# Tells the requests of a process from those of others.
REQUEST_ID_PREFIX_BYTES: typing.Final = 4
