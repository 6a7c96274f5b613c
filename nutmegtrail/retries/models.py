"""Reasons for refusing a request, and their HTTP problem types."""

import enum
import types
import typing


class Reason(enum.StrEnum):
    """Reason for which a sidecar or an entry refuses a request."""

    NOT_RUN = 'not-run'
    MOVED = 'moved'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    LIMIT = 'limit'
    KEY_REUSED = 'key-reused'
    ALREADY_RUN = 'already-run'
    CRASHED = 'crashed'
    INTERRUPTED = 'interrupted'
    UNREACHABLE = 'unreachable'
    QUARANTINED = 'quarantined'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    UNKNOWN_TARGET = 'unknown-target'
    NOT_READY = 'not-ready'


class ProblemType(typing.NamedTuple):
    """HTTP status and title of a refusal, and whether a retry may help."""

    status: int
    title: str
    is_retryable: bool


PROBLEM_TYPE_BY_REASON: typing.Final = types.MappingProxyType(
    {
        Reason.NOT_RUN: ProblemType(503, 'The request was not run', True),
        Reason.OUTCOME_UNKNOWN: ProblemType(
            502, 'The request may have run', True
        ),
        Reason.OVERLOADED: ProblemType(503, 'The request was not run', True),
        Reason.LIMIT: ProblemType(429, 'The contract is used up', True),
        Reason.KEY_REUSED: ProblemType(
            422, 'The key was used with another body', False
        ),
        Reason.ALREADY_RUN: ProblemType(
            409, 'The request ran; its answer is no longer kept', False
        ),
        Reason.INTERRUPTED: ProblemType(502, 'The answer was cut', True),
        Reason.QUARANTINED: ProblemType(
            503, 'The request crashed upstreams', True
        ),
        Reason.UNAUTHORIZED: ProblemType(401, 'Unknown key', False),
        Reason.FORBIDDEN: ProblemType(403, 'Not in the contract', False),
        Reason.UNKNOWN_TARGET: ProblemType(404, 'Unknown target', False),
        Reason.NOT_READY: ProblemType(503, 'The entry is not ready', True),
    },
)
