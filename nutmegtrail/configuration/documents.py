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
    bucket %= contract_const.ACCOUNT_BUCKET_COUNT
    return f'{const.CONTRACT_NAME_PREFIX}{bucket:0{const.BUCKET_DIGITS}d}'


def key_of(name: str) -> str:
    """Return the key of a document in the key-value service."""
    return const.DOCUMENT_PREFIX + name


def name_of(key: str) -> str:
    """Return the name of the document that is stored under a key."""
    return key.removeprefix(const.DOCUMENT_PREFIX)


def parse_stored(content: bytes, schema: type[Schema]) -> Schema:
    """Parse a stored document.

    Raises ConfigurationError if the content does not match the schema.
    """
    try:
        return schema.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.ConfigurationError(
            f'stored document is invalid: {error}',
        ) from error
