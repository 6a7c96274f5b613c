"""Final refusals as RFC 9457 problem documents."""

import random
import typing

import orjson

from nutmegtrail.retries import const
from nutmegtrail.retries import models

_TYPE_PREFIX: typing.Final = 'urn:nutmegtrail:'


class Problem(typing.NamedTuple):
    """HTTP form of a final refusal; retry_after_seconds 0 means never."""

    status: int
    body: bytes
    retry_after_seconds: int


def create_problem(
    reason: models.Reason,
    detail: str,
    request_id: str,
    generator: random.Random,
) -> Problem:
    """Return the refusal; Retry-After is spread to avoid a common return."""
    kind = models.PROBLEM_TYPE_BY_REASON.get(
        reason,
        models.PROBLEM_TYPE_BY_REASON[models.Reason.NOT_RUN],
    )
    name = _public_name(reason)
    document = {
        'type': _TYPE_PREFIX + name.value,
        'title': kind.title,
        'status': kind.status,
        'detail': detail,
        'instance': request_id,
    }
    retry_after = _retry_after(generator) if kind.may_retry else 0
    return Problem(kind.status, orjson.dumps(document), retry_after)


def _public_name(reason: models.Reason) -> models.Reason:
    """Return the reason that a caller is told."""
    if reason in models.PROBLEM_TYPE_BY_REASON:
        return reason
    return models.Reason.NOT_RUN


def _retry_after(generator: random.Random) -> int:
    """Return whole seconds after which a later try makes sense."""
    spread = generator.uniform(0, const.RETRY_AFTER_SPREAD_SECONDS)
    return round(const.RETRY_AFTER_BASE_SECONDS + spread)
