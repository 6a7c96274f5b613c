"""HTTP endpoints that every daemon serves to operators and scrapers."""

import collections.abc
import hmac
import typing

from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const
from nutmegtrail.contracts import credentials
from nutmegtrail.observability import metrics

GetStatus: typing.TypeAlias = collections.abc.Callable[[], dict[str, object]]
_BEARER: typing.Final = 'Bearer '
_UNAUTHORIZED: typing.Final = 401
_ACCEPTED: typing.Final = 202
_UNAVAILABLE: typing.Final = 503


class OperatorApi(typing.NamedTuple):
    """Serves readiness and metrics openly, status and stop with a token."""

    token_digest: str
    metrics_registry: metrics.Metrics
    stop: collections.abc.Callable[[], None]

    async def serve(
        self,
        exchange: exchanges.Exchange,
        *,
        ready: bool,
        get_status: GetStatus,
    ) -> bool:
        """Answer an operator's request; return False for any other path."""
        if exchange.path == '/health/ready':
            code = http_const.HTTP_OK if ready else _UNAVAILABLE
            await exchange.respond_json(code, {'ready': ready})
        elif exchange.path == '/metrics':
            text = self.metrics_registry.render().encode()
            await exchange.respond(
                http_const.HTTP_OK,
                text,
                http_const.CONTENT_TYPE_TEXT,
            )
        elif exchange.path.startswith('/operator/'):
            await self._serve_operator(exchange, ready, get_status)
        else:
            return False
        return True

    async def _serve_operator(
        self,
        exchange: exchanges.Exchange,
        ready: bool,
        get_status: GetStatus,
    ) -> None:
        """Check the operator token of a request and answer it."""
        token = exchange.header('authorization').removeprefix(_BEARER)
        digest = credentials.digest_of(token)
        if hmac.compare_digest(digest, self.token_digest):
            await self._serve_authenticated(exchange, ready, get_status)
        else:
            detail = {'detail': 'send the operator token as bearer key'}
            await exchange.respond_json(_UNAUTHORIZED, detail)

    async def _serve_authenticated(
        self,
        exchange: exchanges.Exchange,
        ready: bool,
        get_status: GetStatus,
    ) -> None:
        """Answer a request whose operator token is valid."""
        if exchange.path == '/operator/stop' and exchange.method == 'POST':
            self.stop()
            await exchange.respond_json(_ACCEPTED, {'stopping': True})
        elif exchange.path == '/operator/status':
            document = {'ready': ready, **get_status()}
            await exchange.respond_json(http_const.HTTP_OK, document)
        else:
            detail = {'detail': 'no such operator path'}
            await exchange.respond_json(http_const.HTTP_NOT_FOUND, detail)
