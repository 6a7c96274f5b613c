"""Settings of an entry, the gateway process that calls upstreams."""

import typing

import pydantic

from nutmegtrail.configuration import settings
from nutmegtrail.contracts import models as contract_models


class Process(pydantic.BaseModel):
    """Location and logging of the entry process."""

    model_config = settings.STRICT

    host: contract_models.Name
    failure_domain: contract_models.Name
    log_format: typing.Literal['json', 'text'] = 'json'
    log_lines_per_second: int = pydantic.Field(default=200, ge=1, le=100_000)


class Listen(pydantic.BaseModel):
    """Addresses on which the entry listens."""

    model_config = settings.STRICT

    callers: settings.AddressText
    readiness: settings.AddressText
    peers: settings.AddressText
    metrics: settings.AddressText


class Store(pydantic.BaseModel):
    """Connection to the platform's key-value store."""

    model_config = settings.STRICT

    address: settings.AddressText


class Link(pydantic.BaseModel):
    """Network link of the host, shared by callers and expert-map orders."""

    model_config = settings.STRICT

    megabits_per_second: float = pydantic.Field(default=1_000, gt=0)


class Host(pydantic.BaseModel):
    """Size of the host; memory and descriptors are not watched if not set.

    Leadership goes to larger hosts. `core_share` is the part of each core that
    the host has.
    """

    model_config = settings.STRICT

    cores: float = pydantic.Field(default=1, gt=0)
    core_share: float = pydantic.Field(default=1, gt=0)
    memory_megabytes: float | None = pydantic.Field(default=None, gt=0)
    descriptors: int | None = pydantic.Field(default=None, gt=0)


class Upstreams(pydantic.BaseModel):
    """Registrations of upstreams in the store."""

    model_config = settings.STRICT

    heartbeat_milliseconds: float = pydantic.Field(default=1_200, gt=0)


class Retries(pydantic.BaseModel):
    """Retry budget that the platform grants a service, over all entries.

    Within a sliding window, retries may not exceed `share` times the requests
    plus `base`.
    """

    model_config = settings.STRICT

    window_seconds: float = pydantic.Field(gt=0)
    share: float = pydantic.Field(ge=0)
    base: float = pydantic.Field(ge=0)


class Stop(pydantic.BaseModel):
    """Graceful shutdown."""

    model_config = settings.STRICT

    grace_seconds: float = pydantic.Field(gt=0)


class GatewaySettings(pydantic.BaseModel):
    """Root of the settings file of an entry.

    `regions` has the region of each failure domain. Requests that are bound to
    regions are not sent to upstreams in other failure domains.
    """

    model_config = settings.STRICT

    process: Process
    listen: Listen
    store: Store
    link: Link = Link()
    host: Host = Host()
    upstreams: Upstreams = Upstreams()
    retries: Retries
    stop: Stop
    regions: dict[contract_models.Name, contract_models.Name] = {}
