"""Configuration documents and their schemas."""

import typing

import pydantic

from nutmegtrail.contracts import models as contract_models

_STRICT: typing.Final = pydantic.ConfigDict(extra='forbid', frozen=True)


class Document(typing.NamedTuple):
    """A named document at a revision of the key-value service."""

    name: str
    revision: int
    content: bytes


class Service(pydantic.BaseModel):
    """A plain service; only requests with the listed methods are retried."""

    model_config = _STRICT

    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')


class Model(pydantic.BaseModel):
    """A model; the concurrency is the load that one engine can carry."""

    model_config = _STRICT

    concurrency_per_engine: int = pydantic.Field(ge=1, le=100_000)
    experts_per_layer: int = pydantic.Field(default=256, ge=1, le=65_536)


class Rebalancing(pydantic.BaseModel):
    """Weights of step-time skew and of moved experts, horizon and interval.

    Maps are compared once per interval. The weighted skew that a new map
    saves over the horizon must exceed the weighted number of moves.
    """

    model_config = _STRICT

    skew_weight: float = pydantic.Field(gt=0)
    move_weight: float = pydantic.Field(gt=0)
    horizon_seconds: float = pydantic.Field(gt=0)
    interval_seconds: float = pydantic.Field(default=60, gt=0)


class Deployment(pydantic.BaseModel):
    """Models, services and rebalancing of the whole deployment."""

    model_config = _STRICT

    models: dict[contract_models.Name, Model] = {}
    services: dict[contract_models.Name, Service] = {}
    rebalancing: Rebalancing


class Change(pydantic.BaseModel):
    """One accepted edit of a document."""

    model_config = _STRICT

    edit_id: str
    operator: str
    time: str
    subject: str


class DeploymentDocument(pydantic.BaseModel):
    """Stored form of the deployment with its latest edits, newest first."""

    model_config = _STRICT

    deployment: Deployment
    history: tuple[Change, ...] = ()


class ContractDocument(pydantic.BaseModel):
    """Stored form of a bucket of contracts with its latest edits."""

    model_config = _STRICT

    contracts_by_account: dict[str, contract_models.Contract] = {}
    history: tuple[Change, ...] = ()
