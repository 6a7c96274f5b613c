"""Names and stored forms of the configuration documents."""

import typing

import pydantic
import xxhash

from nutmegtrail.configuration import const
from nutmegtrail.configuration import errors
from nutmegtrail.contracts import const as contract_const

Schema = typing.TypeVar('Schema', bound=pydantic.BaseModel)


def bucket_name(client_account: str) -> str:
    """Return the name of the document that holds an account's contract."""
    bucket = xxhash.xxh64_intdigest(client_account.encode())
    bucket %= contract_const.ACCOUNT_BUCKETS
    return f'{const.CONTRACT_NAME_PREFIX}{bucket:0{const.BUCKET_DIGITS}d}'


def key_of(name: str) -> str:
    """Return the key under which a document is stored."""
    return const.DOCUMENT_PREFIX + name


def name_of(key: str) -> str:
    """Return the name of the document that a key stores."""
    return key.removeprefix(const.DOCUMENT_PREFIX)


def parse_stored(content: bytes, schema: type[Schema]) -> Schema:
    """Return a stored document; raise ConfigurationError if damaged."""
    try:
        return schema.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.ConfigurationError(
            f'stored document is damaged: {error}',
        ) from error
