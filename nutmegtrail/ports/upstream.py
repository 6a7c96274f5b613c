"""Port from a sidecar to its upstream."""

import collections.abc
import contextlib
import typing

from nutmegtrail import errors
from nutmegtrail.wire import models


class UpstreamError(errors.NutmegtrailError):
    """The upstream did not give a whole answer."""


class NotSent(UpstreamError):
    """No byte of the request reached the upstream."""


class Interrupted(UpstreamError):
    """The request may have reached the upstream; the answer is cut."""


class Response(typing.NamedTuple):
    """Status, content type and the events of an answer's body."""

    status: int
    content_type: str
    events: collections.abc.AsyncIterator[bytes]


class Upstream(typing.Protocol):
    """The upstream beside the sidecar."""

    def open(
        self,
        call: models.Call,
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Send a call; leaving the context cancels what still runs."""


Probe: typing.TypeAlias = collections.abc.Callable[
    [],
    collections.abc.Awaitable[bool],
]
