"""A model engine: streams deterministic tokens and can resume a stream.

A prompt that contains the crash word ends the process, as a request that
crashes its engine would.
"""

import collections
import os
import typing

import anyio
import anyio.abc
import orjson
import xxhash

from nutmegtrail.adapters.http import asgi
from nutmegtrail.adapters.http import const as http_const

_CRASH_WORD: typing.Final = b'crash-the-engine'
_CRASH_EXIT_CODE: typing.Final = 70
_DEFAULT_TOKENS: typing.Final = 16


class ModelEngine:
    """Answers chat completions token by token."""

    def __init__(self, token_seconds: float) -> None:
        """Keep the time between tokens; nothing runs yet."""
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.running = 0
        self._token_seconds = token_seconds

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/v1/chat/completions':
            await self._complete(exchange)
        elif exchange.path == '/stand-in/runs':
            runs = {
                'by_request': dict(self.runs_by_request),
                'running': self.running,
            }
            await exchange.respond_json(http_const.HTTP_OK, runs)
        else:
            await exchange.respond_json(http_const.HTTP_OK, {})

    async def _complete(self, exchange: asgi.Exchange) -> None:
        """Answer a chat completion."""
        document = await exchange.json()
        body = await exchange.body()
        if _CRASH_WORD in body:
            os._exit(_CRASH_EXIT_CODE)  # noqa: SLF001
        self.runs_by_request[exchange.header('x-request-id')] += 1
        self.running += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_hang_up, exchange, tasks)
                await self._generate(exchange, document)
                tasks.cancel_scope.cancel()
        finally:
            self.running -= 1

    async def _generate(
        self,
        exchange: asgi.Exchange,
        document: dict[str, typing.Any],
    ) -> None:
        """Generate the tokens of an answer."""
        count = int(document.get('max_tokens', _DEFAULT_TOKENS))
        seed = orjson.dumps(document.get('messages', ''))
        words = [_word(seed, place) for place in range(count)]
        if document.get('stream'):
            offset = int(exchange.header('x-resume-offset') or 0)
            await self._stream(exchange, words, offset)
            return
        await anyio.sleep(self._token_seconds * count)
        message = {'role': 'assistant', 'content': ' '.join(words)}
        answer = {'choices': [{'index': 0, 'message': message}]}
        await exchange.respond_json(http_const.HTTP_OK, answer)

    async def _stream(
        self,
        exchange: asgi.Exchange,
        words: list[str],
        offset: int,
    ) -> None:
        """Send the tokens from an offset as server-sent events."""
        await exchange.start(
            http_const.HTTP_OK,
            http_const.CONTENT_TYPE_EVENTS,
        )
        for word in words[offset:]:
            await anyio.sleep(self._token_seconds)
            delta = {'choices': [{'index': 0, 'delta': {'content': word}}]}
            event = b'data: ' + orjson.dumps(delta) + b'\n\n'
            await exchange.write(event, more=True)
        if offset <= len(words):
            await exchange.write(b'data: [DONE]\n\n', more=True)
        await exchange.write(b'', more=False)


async def _cancel_on_hang_up(
    exchange: asgi.Exchange,
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Stop the generation when the sidecar closes the connection."""
    await exchange.wait_for_disconnect()
    tasks.cancel_scope.cancel()


def _word(seed: bytes, place: int) -> str:
    """Return the token at a place of the answer to a prompt."""
    return xxhash.xxh32_hexdigest(seed, seed=place)
