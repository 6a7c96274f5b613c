"""Port to the platform's host list."""

import typing

import expression

from nutmegtrail import errors
from nutmegtrail import models


class HostListError(errors.NutmegtrailError):
    """The host list could not be read."""


class Host(typing.NamedTuple):
    """Host of the platform and the nutmegtrail process on it.

    `role` is `entry` or `sidecar`. `upstream` and `target` (a model or a
    service) are empty for an entry. `leaving` is set while the host drains, but
    with a delay. `group` is the rank group of an engine.
    """

    host: str
    failure_domain: str
    role: str
    address: models.Address
    upstream: str
    target: str
    leaving: bool
    http_address: models.Address
    group: str = ''


class HostList(typing.Protocol):
    """Hosts of the platform; the list lags behind changes."""

    async def hosts(self) -> expression.Result[tuple[Host, ...], HostListError]:
        """Return all hosts in the list."""
