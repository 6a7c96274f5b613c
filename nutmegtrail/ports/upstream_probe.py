"""Port to ask an upstream whether its process still runs."""

import enum
import typing

from nutmegtrail.gateway import models


class Condition(enum.Enum):
    """State of the process of one incarnation of an upstream.

    Without a response, the process may run or not.
    """

    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class UpstreamProbe(typing.Protocol):
    """Asks upstreams whether their processes still run."""

    async def condition(self, upstream: models.Upstream) -> Condition:
        """Return the state of the incarnation that registered."""
