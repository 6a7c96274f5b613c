"""Authentication and authorization of callers."""

import collections.abc
import hashlib
import hmac
import typing

import expression

from nutmegtrail import const as shared_const
from nutmegtrail.contracts import const
from nutmegtrail.contracts import errors
from nutmegtrail.contracts import models

_SCHEME: typing.Final = 'bearer '


class Caller(typing.NamedTuple):
    """An authenticated client account and its contract."""

    client_account: str
    contract: models.Contract


def digest_of(key: str) -> str:
    """Return the digest of a key, as listed in `key_digests`."""
    return const.DIGEST_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def index_by_digest(
    contracts_by_account: collections.abc.Mapping[str, models.Contract],
) -> dict[str, Caller]:
    """Return the callers by the digest of each of their keys."""
    return {
        digest: Caller(client_account, contract)
        for client_account, contract in contracts_by_account.items()
        for digest in contract.key_digests
    }


def authenticate(
    authorization: str,
    callers_by_digest: collections.abc.Mapping[str, Caller],
) -> expression.Result[Caller, errors.ContractError]:
    """Return the caller identified by an Authorization header.

    Only digests are compared, so the response time reveals nothing about a
    key.
    """
    if len(authorization) > shared_const.CREDENTIAL_LENGTH_LIMIT:
        return expression.Error(errors.UnknownCredential('key is too long'))
    if not authorization.lower().startswith(_SCHEME):
        return expression.Error(errors.UnknownCredential('send a bearer key'))
    key = authorization[len(_SCHEME) :].strip()
    if not key:
        return expression.Error(errors.UnknownCredential('the key is empty'))
    digest = digest_of(key)
    caller = callers_by_digest.get(digest)
    if caller is None:
        return expression.Error(errors.UnknownCredential('unknown key'))
    if not any(
        hmac.compare_digest(digest, key_digest)
        for key_digest in caller.contract.key_digests
    ):
        return expression.Error(errors.UnknownCredential('unknown key'))
    return expression.Ok(caller)


def check_target(
    caller: Caller,
    target: str,
) -> expression.Result[Caller, errors.ContractError]:
    """Return the caller if its contract grants access to the target."""
    contract = caller.contract
    if target in contract.models or target in contract.services:
        return expression.Ok(caller)
    return expression.Error(
        errors.NotGranted(
            f'the contract of {caller.client_account} does not name {target}',
        ),
    )
