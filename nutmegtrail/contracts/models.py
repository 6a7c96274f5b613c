"""Schema of the contracts of client accounts."""

import typing

import pydantic

from nutmegtrail.contracts import const

Name = typing.Annotated[str, pydantic.Field(pattern=const.NAME_PATTERN)]
Digest = typing.Annotated[str, pydantic.Field(pattern=const.DIGEST_PATTERN)]


class Contract(pydantic.BaseModel):
    """Everything that a client account may use; nothing else grants access.

    Rates are per second over the whole deployment. The burst is the number
    of seconds of the rate that may be used at once.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    key_digests: tuple[Digest, ...] = pydantic.Field(min_length=1)
    requests_per_second: float = pydantic.Field(gt=0, le=1_000_000)
    tokens_per_second: float = pydantic.Field(gt=0, le=100_000_000)
    burst_seconds: float = pydantic.Field(default=2.0, ge=1, le=60)
    concurrency: int = pydantic.Field(default=64, ge=1, le=100_000)
    share_weight: float = pydantic.Field(default=1.0, gt=0, le=1_000)
    priority: int = pydantic.Field(
        default=const.PRIORITY_LOWEST // 2,
        ge=const.PRIORITY_HIGHEST,
        le=const.PRIORITY_LOWEST,
    )
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()

    @pydantic.model_validator(mode='after')
    def _check_consistent(self) -> typing.Self:
        """Reject a contract with contradictory limits or without a target."""
        if self.tokens_per_second < self.requests_per_second:
            raise ValueError(
                'tokens_per_second must be at least requests_per_second',
            )
        if not self.models and not self.services:
            raise ValueError('list at least one name in models or services')
        return self


class ContractFile(pydantic.BaseModel):
    """Schema of a TOML file with contracts by client account."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    client_account: dict[Name, Contract]
