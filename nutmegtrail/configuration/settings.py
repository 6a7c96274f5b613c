"""Settings of a process, loaded from TOML and validated by a schema."""

import pathlib
import tomllib
import typing

import pydantic

from nutmegtrail import models as shared_models
from nutmegtrail.configuration import errors
from nutmegtrail.contracts import models as contract_models

STRICT: typing.Final = pydantic.ConfigDict(extra='forbid', frozen=True)
Schema = typing.TypeVar('Schema', bound=pydantic.BaseModel)


def _check_address(text: str) -> str:
    """Return the text if it is a valid address."""
    shared_models.parse_address(text)
    return text


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


class Process(pydantic.BaseModel):
    """Where a process runs and listens."""

    model_config = STRICT

    host: contract_models.Name
    failure_domain: contract_models.Name
    peer_listen: AddressText
    http_listen: AddressText
    operator_token_digest: contract_models.Digest
    log_format: typing.Literal['json', 'text'] = 'json'


class Platform(pydantic.BaseModel):
    """Addresses of the platform's services."""

    model_config = STRICT

    key_value: AddressText
    host_list: AddressText


class UpstreamSettings(pydantic.BaseModel):
    """The upstream of a sidecar and the target that it serves."""

    model_config = STRICT

    name: contract_models.Name
    kind: typing.Literal['model-engine', 'plain-service']
    target: contract_models.Name
    address: AddressText
    checks_fencing: bool = False
    group: str = ''
    group_size: int = pydantic.Field(default=0, ge=0, le=4_096)
    rank: int = pydantic.Field(default=0, ge=0)
    rank_address: AddressText | None = None
    concurrency: int = pydantic.Field(default=64, ge=1, le=100_000)

    @pydantic.model_validator(mode='after')
    def _check_group(self) -> typing.Self:
        """Reject a group without its size or its rank address."""
        if self.group and not (self.group_size and self.rank_address):
            raise ValueError('group requires group_size and rank_address')
        if self.group and self.rank >= self.group_size:
            raise ValueError('rank must be below group_size')
        return self


class Stop(pydantic.BaseModel):
    """Planned stop.

    The platform kills the process `grace_seconds` after SIGTERM.
    """

    model_config = STRICT

    grace_seconds: float = pydantic.Field(default=30, gt=0, allow_inf_nan=False)


class EntrySettings(pydantic.BaseModel):
    """Settings of an entry."""

    model_config = STRICT

    process: Process
    platform: Platform
    stop: Stop = Stop()


class SidecarSettings(pydantic.BaseModel):
    """Settings of a sidecar."""

    model_config = STRICT

    process: Process
    platform: Platform
    upstream: UpstreamSettings
    stop: Stop = Stop()


def load(path: pathlib.Path, schema: type[Schema]) -> Schema:
    """Load and validate settings.

    Raises SettingsError with one line for each invalid key.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: cannot be read ({error.strerror}); check the path',
        ) from error
    try:
        parsed = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f'{path}: invalid TOML: {error}') from error
    try:
        return schema.model_validate(parsed)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(_format_errors(path, text, error)) from error


def _format_errors(
    path: pathlib.Path,
    text: str,
    error: pydantic.ValidationError,
) -> str:
    """Return one line for each error with file, line, key and message."""
    return '\n'.join(
        _format_error(path, text, details['loc'], details['msg'])
        for details in error.errors()
    )


def _format_error(
    path: pathlib.Path,
    text: str,
    location: tuple[str | int, ...],
    message: str,
) -> str:
    """Return the line for one error."""
    keys = tuple(part for part in location if isinstance(part, str))
    line = line_of(text, keys)
    return f'{path}:{line}: {".".join(keys)}: {message}'


def line_of(text: str, keys: tuple[str, ...]) -> int:
    """Return the line number of a key.

    Falls back to the line of its table, then to the first line.
    """
    table_line = 1
    table: tuple[str, ...] = ()
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            table = _split_key(stripped.strip('[]'))
            path = table
        else:
            path = table + _split_key(stripped.partition('=')[0])
        if path == keys:
            return number
        if path == keys[: len(path)] and path == table:
            table_line = number
    return table_line


def _split_key(dotted_key: str) -> tuple[str, ...]:
    """Return the parts of a dotted TOML key."""
    return tuple(part.strip(' "\'') for part in dotted_key.split('.'))
