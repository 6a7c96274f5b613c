"""Port from a sidecar to its upstream."""

import collections.abc
import contextlib
import typing

from nutmegtrail import errors
from nutmegtrail.wire import models


class UpstreamError(errors.NutmegtrailError):
    """The upstream did not return a complete response."""


class NotSent(UpstreamError):
    """No part of the request reached the upstream."""


class Interrupted(UpstreamError):
    """The response is incomplete; the request may have been processed."""


class Response(typing.NamedTuple):
    """Status, content type and body events of a response."""

    status: int
    content_type: str
    events: collections.abc.AsyncIterator[bytes]


class Upstream(typing.Protocol):
    """Upstream on the same host as the sidecar."""

    def open(
        self,
        call: models.Call,
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Send a call; leaving the context cancels it."""


Probe: typing.TypeAlias = collections.abc.Callable[
    [],
    collections.abc.Awaitable[bool],
]
