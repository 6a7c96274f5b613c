"""Simulated model engine with deterministic tokens and resumable streams.

A prompt that contains the crash trigger ends the process, like a request that
crashes its engine.
"""

import collections
import os
import typing

import anyio
import orjson
import xxhash

from nutmegtrail.adapters.http import exchanges
from nutmegtrail.adapters.http import const as http_const

_CRASH_TRIGGER: typing.Final = b'crash-the-engine'
_CRASH_EXIT_CODE: typing.Final = 70
_DEFAULT_MAX_TOKENS: typing.Final = 16


class ModelEngine:
    """Serves chat completions at a fixed token rate."""

    def __init__(self, token_seconds: float) -> None:
        """Initialize the engine with the time between two tokens."""
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.requests_running = 0
        self._token_seconds = token_seconds

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        if exchange.path == '/v1/chat/completions':
            await self._complete(exchange)
        elif exchange.path == '/stand-in/runs':
            runs = {
                'by_request': dict(self.runs_by_request),
                'running': self.requests_running,
            }
            await exchange.respond_json(http_const.HTTP_OK, runs)
        else:
            await exchange.respond_json(http_const.HTTP_OK, {})

    async def _complete(self, exchange: exchanges.Exchange) -> None:
        """Handle a chat completion; crash if the prompt asks for it."""
        document = exchange.json()
        body = exchange.body
        if _CRASH_TRIGGER in body:
            os._exit(_CRASH_EXIT_CODE)  # noqa: SLF001
        self.runs_by_request[exchange.header('x-request-id')] += 1
        self.requests_running += 1
        try:
            await self._generate(exchange, document)
        finally:
            self.requests_running -= 1

    async def _generate(
        self,
        exchange: exchanges.Exchange,
        document: dict[str, typing.Any],
    ) -> None:
        """Generate the tokens and send them, streamed or in one response."""
        token_count = int(document.get('max_tokens', _DEFAULT_MAX_TOKENS))
        seed = orjson.dumps(document.get('messages', ''))
        tokens = [
            _create_token(seed, position) for position in range(token_count)
        ]
        if document.get('stream'):
            offset = int(exchange.header('x-resume-offset') or 0)
            await self._stream(exchange, tokens, offset)
            return
        await anyio.sleep(self._token_seconds * token_count)
        message = {'role': 'assistant', 'content': ' '.join(tokens)}
        completion = {'choices': [{'index': 0, 'message': message}]}
        await exchange.respond_json(http_const.HTTP_OK, completion)

    async def _stream(
        self,
        exchange: exchanges.Exchange,
        tokens: list[str],
        offset: int,
    ) -> None:
        """Stream the tokens from an offset as server-sent events."""
        exchange.start(
            http_const.HTTP_OK,
            http_const.CONTENT_TYPE_EVENTS,
        )
        for token in tokens[offset:]:
            await anyio.sleep(self._token_seconds)
            delta = {'choices': [{'index': 0, 'delta': {'content': token}}]}
            event = b'data: ' + orjson.dumps(delta) + b'\n\n'
            await exchange.write(event, more=True)
        if offset <= len(tokens):
            await exchange.write(b'data: [DONE]\n\n', more=True)
        await exchange.write(b'', more=False)


def _create_token(seed: bytes, position: int) -> str:
    """Return the deterministic token at a position of a completion."""
    return xxhash.xxh32_hexdigest(seed, seed=position)
