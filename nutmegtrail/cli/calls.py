"""Calls of the command line to processes, each within limits."""

import collections.abc
import typing

import anyio
import httpx

from nutmegtrail import const as shared_const
from nutmegtrail.adapters.bounded_http import client as bounded_http
from nutmegtrail.adapters.bounded_http import models
from nutmegtrail.byte_budget import budget

_LIMITS: typing.Final = models.Limits(
    shared_const.BYTES_PER_MEBIBYTE, timeout_seconds=3.0
)


def call(
    method: str,
    url: str,
    *,
    headers: collections.abc.Mapping[str, str] | None = None,
    query: collections.abc.Mapping[str, str] | None = None,
) -> httpx.Response:
    """Send a request and return the whole response; raise httpx.HTTPError."""
    return anyio.run(
        fetch, httpx.Request(method, url, headers=headers, params=query)
    )


async def fetch(request: httpx.Request) -> httpx.Response:
    """Send a request and return the whole response; raise httpx.HTTPError."""
    request.headers.update(bounded_http.HEADERS)
    async with httpx.AsyncClient(timeout=_LIMITS.timeout_seconds) as client:
        return await bounded_http.fetch(
            client, request, _LIMITS, budget.ByteBudget(_LIMITS.size_bytes)
        )
