"""Settings of an entry that calls upstreams directly."""

import typing

import pydantic

from nutmegtrail.configuration import settings
from nutmegtrail.contracts import models as contract_models


class Process(pydantic.BaseModel):
    """Where the entry runs."""

    model_config = settings.STRICT

    host: contract_models.Name
    failure_domain: contract_models.Name
    log_format: typing.Literal['json', 'text'] = 'json'
    log_lines_per_second: int = pydantic.Field(default=200, ge=1, le=100_000)


class Listen(pydantic.BaseModel):
    """Addresses that the entry listens on."""

    model_config = settings.STRICT

    callers: settings.AddressText
    readiness: settings.AddressText
    peers: settings.AddressText
    metrics: settings.AddressText


class Store(pydantic.BaseModel):
    """The platform's store."""

    model_config = settings.STRICT

    address: settings.AddressText


class Link(pydantic.BaseModel):
    """The host's network link, which callers and orders share."""

    model_config = settings.STRICT

    megabits_per_second: float = pydantic.Field(default=1_000, gt=0)


class Retries(pydantic.BaseModel):
    """Second sends that the platform allows a service, over all entries."""

    model_config = settings.STRICT

    window_seconds: float = pydantic.Field(gt=0)
    share: float = pydantic.Field(ge=0)
    base: float = pydantic.Field(ge=0)


class Stop(pydantic.BaseModel):
    """The planned stop."""

    model_config = settings.STRICT

    grace_seconds: float = pydantic.Field(gt=0)


class GatewaySettings(pydantic.BaseModel):
    """Settings of an entry."""

    model_config = settings.STRICT

    process: Process
    listen: Listen
    store: Store
    link: Link = Link()
    retries: Retries
    stop: Stop
