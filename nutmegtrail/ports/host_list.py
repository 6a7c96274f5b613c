"""Port to the platform's host list."""

import typing

import expression

from nutmegtrail import errors
from nutmegtrail import models


class HostListError(errors.NutmegtrailError):
    """The host list can not be read."""


class Host(typing.NamedTuple):
    """A host of the platform and the process of the system on it.

    `role` is `entry` or `sidecar`; `upstream` and `target` (a model or a
    service) are empty for an entry. `leaving` is set late. `group` names
    the rank group of an engine.
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
    """The hosts of the platform, with a lag."""

    async def hosts(self) -> expression.Result[tuple[Host, ...], HostListError]:
        """Return all listed hosts."""
