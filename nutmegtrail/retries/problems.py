"""Refusals as RFC 9457 problem documents."""

import random
import typing

import orjson

from nutmegtrail.retries import const
from nutmegtrail.retries import models

_TYPE_PREFIX: typing.Final = 'urn:nutmegtrail:'


class Problem(typing.NamedTuple):
    """HTTP form of a refusal.

    A `retry_after_seconds` of 0 means that the request should not be
    retried.
    """

    status: int
    body: bytes
    retry_after_seconds: int


def create_problem(
    reason: models.Reason,
    detail: str,
    request_id: str,
    generator: random.Random,
) -> Problem:
    """Return the problem document for a refusal.

    The retry delay has a random part, so that callers that are refused
    together do not retry at the same time.
    """
    problem_type = models.PROBLEM_TYPE_BY_REASON.get(
        reason,
        models.PROBLEM_TYPE_BY_REASON[models.Reason.NOT_RUN],
    )
    public_reason = _public_reason(reason)
    document = {
        'type': _TYPE_PREFIX + public_reason.value,
        'title': problem_type.title,
        'status': problem_type.status,
        'detail': detail,
        'instance': request_id,
    }
    retry_after = _retry_after(generator) if problem_type.is_retryable else 0
    return Problem(problem_type.status, orjson.dumps(document), retry_after)


def _public_reason(reason: models.Reason) -> models.Reason:
    """Return the reason to report; internal reasons become NOT_RUN."""
    if reason in models.PROBLEM_TYPE_BY_REASON:
        return reason
    return models.Reason.NOT_RUN


def _retry_after(generator: random.Random) -> int:
    """Return the retry delay in whole seconds, with jitter."""
    jitter_seconds = generator.uniform(0, const.RETRY_AFTER_JITTER_SECONDS)
    return round(const.RETRY_AFTER_BASE_SECONDS + jitter_seconds)
