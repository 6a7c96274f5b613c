"""Parsing of callers' HTTP requests and checks against their contracts."""

import typing
import urllib.parse
import uuid

import expression

from nutmegtrail import const as shared_const
from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.adapters.http import errors as http_errors
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.contracts import credentials
from nutmegtrail.contracts import errors as contract_errors
from nutmegtrail.draining import models as draining_models
from nutmegtrail.limits import const as limit_const
from nutmegtrail.limits import models as limit_models
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

CHAT_PATH: typing.Final = '/v1/chat/completions'
_SERVICE_PREFIX: typing.Final = '/services/'
_TARGET_SEGMENT_INDEX: typing.Final = 2


class InboundRequest(typing.NamedTuple):
    """A request whose contract grants access to its target.

    `cost` is charged to the contract on admission. `response_tokens` is 0 if
    the caller sets no limit.
    """

    request_id: str
    caller: credentials.Caller
    target: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    idempotent: bool
    cost: limit_models.Amount
    is_stream: bool = False
    response_tokens: int = 0


class Rejection(typing.NamedTuple):
    """The reason for refusing a request before any attempt is sent."""

    reason: retry_models.Reason
    detail: str


ReadResult: typing.TypeAlias = expression.Result[InboundRequest, Rejection]


def read_request(
    exchange: exchanges.Exchange,
    caller: credentials.Caller,
    deployment: configuration_models.Deployment,
) -> ReadResult:
    """Return the request or its rejection; raise RequestError if malformed."""
    if exchange.path == CHAT_PATH:
        return _read_chat(exchange, caller, deployment)
    if exchange.path.startswith(_SERVICE_PREFIX):
        return _read_service(exchange, caller, deployment)
    detail = f'use {CHAT_PATH} or {_SERVICE_PREFIX}SERVICE/PATH'
    return _rejected(retry_models.Reason.UNKNOWN_TARGET, detail)


def to_drained(
    request: InboundRequest, received_at_seconds: float
) -> draining_models.Request:
    """Return what a planned stop needs to know of a request."""
    return draining_models.Request(
        (
            request.target,
            request.method,
            'stream' if request.is_stream else 'whole',
        ),
        received_at_seconds,
        received_at_seconds + shared_const.REQUEST_TIMEOUT_SECONDS,
        request.response_tokens,
        runs_once=not request.idempotent,
    )


def build_call(
    request: InboundRequest,
    attempt: int,
    offset: int,
    deadline_ms: int,
    *,
    suspect: bool,
) -> models.Call:
    """Return the wire message for an attempt of a request."""
    contract = request.caller.contract
    return models.Call(
        request_id=request.request_id,
        attempt=attempt,
        client_account=request.caller.client_account,
        target=request.target,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        idempotency_key=request.idempotency_key,
        idempotent=request.idempotent,
        priority=contract.priority,
        deadline_ms=deadline_ms,
        offset=offset,
        share_weight=contract.share_weight,
        suspect=suspect,
    )


def _read_chat(
    exchange: exchanges.Exchange,
    caller: credentials.Caller,
    deployment: configuration_models.Deployment,
) -> ReadResult:
    """Read a chat request to a model."""
    document = exchange.json()
    target = document.get('model')
    if not isinstance(target, str):
        raise http_errors.RequestError(
            http_const.HTTP_BAD_REQUEST,
            'model must be the name of a model',
        )
    rejection = _check_target(caller, target, target in deployment.models)
    if rejection is not None:
        return expression.Error(rejection)
    body = exchange.body
    limit = document.get('max_tokens')
    answer_tokens = limit_const.DEFAULT_RESPONSE_TOKENS
    if isinstance(limit, int):
        answer_tokens = limit
    tokens = len(body) // limit_const.CHARACTERS_PER_TOKEN + answer_tokens
    return expression.Ok(
        InboundRequest(
            request_id=uuid.uuid4().hex,
            caller=caller,
            target=target,
            method='POST',
            path=CHAT_PATH,
            content_type=http_const.CONTENT_TYPE_JSON,
            body=body,
            idempotency_key='',
            idempotent=True,
            cost=limit_models.Amount(1, max(tokens, 0)),
            is_stream=bool(document.get('stream')),
            response_tokens=max(limit, 0) if isinstance(limit, int) else 0,
        ),
    )


def _read_service(
    exchange: exchanges.Exchange,
    caller: credentials.Caller,
    deployment: configuration_models.Deployment,
) -> ReadResult:
    """Read a request to a plain service."""
    _, _, target, *rest = exchange.path.split('/', _TARGET_SEGMENT_INDEX + 1)
    service = deployment.services.get(target)
    rejection = _check_target(caller, target, service is not None)
    if rejection is not None or service is None:
        return expression.Error(rejection or _unknown_target(target))
    key = exchange.header('idempotency-key')
    if len(key) > shared_const.IDEMPOTENCY_KEY_LENGTH_LIMIT:
        raise http_errors.RequestError(
            http_const.HTTP_BAD_REQUEST,
            'the idempotency key is too long',
        )
    idempotent = exchange.method in service.idempotent_methods
    path = urllib.parse.quote(f'/{"".join(rest)}')
    if exchange.query:
        path = f'{path}?{exchange.query.decode("latin-1")}'
    return expression.Ok(
        InboundRequest(
            request_id=uuid.uuid4().hex,
            caller=caller,
            target=target,
            method=exchange.method,
            path=path,
            content_type=exchange.header('content-type'),
            body=exchange.body,
            idempotency_key='' if idempotent else key,
            idempotent=idempotent,
            cost=limit_models.Amount(1, 0),
        ),
    )


def _check_target(
    caller: credentials.Caller,
    target: str,
    is_deployed: bool,
) -> Rejection | None:
    """Return why a caller may not use a target, or None if it may."""
    granted = credentials.check_target(caller, target)
    if granted.is_error():
        return _forbidden(granted.error)
    return None if is_deployed else _unknown_target(target)


def _forbidden(error: contract_errors.ContractError) -> Rejection:
    """Return the rejection of a target that the contract does not grant."""
    return Rejection(retry_models.Reason.FORBIDDEN, str(error))


def _unknown_target(target: str) -> Rejection:
    """Return the rejection of a target that is not in the deployment."""
    detail = f'the deployment has no model or service {target}'
    return Rejection(retry_models.Reason.UNKNOWN_TARGET, detail)


def _rejected(reason: retry_models.Reason, detail: str) -> ReadResult:
    """Return a rejection as a read result."""
    return expression.Error(Rejection(reason, detail))
