"""Key-value client over the JSON paths of the etcd v3 gateway."""

import base64
import collections.abc
import typing

import expression
import httpx
import orjson

from nutmegtrail import models
from nutmegtrail.adapters.key_value import const
from nutmegtrail.ports import key_value

_NOT_SENT: typing.Final = (httpx.ConnectError, httpx.ConnectTimeout)


class EtcdStore:
    """Implements `ports.key_value.KeyValueStore`; counts its calls."""

    def __init__(self, address: models.Address) -> None:
        """Keep the address; nothing is connected yet."""
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            timeout=httpx.Timeout(
                const.CALL_TIMEOUT_SECONDS,
                connect=const.CONNECT_TIMEOUT_SECONDS,
            ),
        )
        self.reads = 0
        self.writes = 0

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(
        self,
        key: str,
    ) -> expression.Result[key_value.Entry | None, key_value.Unavailable]:
        """Return the entry of a key, None where there is none."""
        found = await self._range({'key': _encode(key.encode())}, key)
        return found.map(_first)

    async def scan(
        self,
        prefix: str,
    ) -> expression.Result[tuple[key_value.Entry, ...], key_value.Unavailable]:
        """Return all entries whose keys start with the prefix."""
        return await self._range(_prefix_range(prefix), prefix)

    async def swap(
        self,
        key: str,
        expected_revision: int,
        content: bytes,
        lease_id: int = 0,
    ) -> expression.Result[int, key_value.SwapError]:
        """Write if the key is at the revision; return the new revision."""
        self.writes += 1
        encoded_key = _encode(key.encode())
        request = {
            'compare': [
                {
                    'key': encoded_key,
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(expected_revision),
                },
            ],
            'success': [
                {
                    'request_put': {
                        'key': encoded_key,
                        'value': _encode(content),
                        'lease': str(lease_id),
                    },
                },
            ],
        }
        try:
            answer = await self._post('/v3/kv/txn', request)
        except _NOT_SENT:
            return expression.Error(key_value.Unavailable(key))
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return expression.Error(key_value.OutcomeUnknown(key))
        if not answer.get('succeeded'):
            return expression.Error(key_value.CompareFailed(key))
        return expression.Ok(int(answer['header']['revision']))

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, key_value.Unavailable]:
        """Return the identifier of a new lease."""
        self.writes += 1
        answer = await self._try('/v3/lease/grant', {'TTL': str(ttl_seconds)})
        return answer.map(_lease_id)

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, key_value.Unavailable]:
        """Renew a lease; return False where it has lapsed."""
        self.writes += 1
        request = {'ID': str(lease_id)}
        answer = await self._try('/v3/lease/keepalive', request)
        return answer.map(_is_alive)

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, key_value.Unavailable]:
        """End a lease and delete its keys."""
        self.writes += 1
        answer = await self._try('/v3/lease/revoke', {'ID': str(lease_id)})
        return answer.map(_nothing)

    async def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> collections.abc.AsyncIterator[key_value.Entry]:
        """Yield each change under the prefix; end when the service fails."""
        self.reads += 1
        request = _prefix_range(prefix)
        request['start_revision'] = str(start_revision)
        try:
            async for line in self._lines({'create_request': request}):
                for entry in _watched(line):
                    yield entry
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return

    async def _lines(
        self,
        request: dict[str, typing.Any],
    ) -> collections.abc.AsyncIterator[str]:
        """Yield the lines of a watch's answer."""
        async with self._client.stream(
            'POST',
            '/v3/watch',
            content=orjson.dumps(request),
            timeout=httpx.Timeout(
                const.WATCH_IDLE_TIMEOUT_SECONDS,
                connect=const.CONNECT_TIMEOUT_SECONDS,
            ),
        ) as response:
            response.raise_for_status()
            async for line in response.aiter_lines():
                yield line

    async def _range(
        self,
        request: dict[str, str],
        key: str,
    ) -> expression.Result[tuple[key_value.Entry, ...], key_value.Unavailable]:
        """Return the entries of a range."""
        self.reads += 1
        answer = await self._try('/v3/kv/range', request, key)
        return answer.map(_entries)

    async def _try(
        self,
        path: str,
        request: dict[str, str],
        key: str = '',
    ) -> expression.Result[dict[str, typing.Any], key_value.Unavailable]:
        """Return the answer of a call that may be repeated."""
        try:
            return expression.Ok(await self._post(path, request))
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return expression.Error(key_value.Unavailable(key))

    async def _post(
        self,
        path: str,
        request: object,
    ) -> dict[str, typing.Any]:
        """Return the answer of a call."""
        response = await self._client.post(path, content=orjson.dumps(request))
        response.raise_for_status()
        answer: dict[str, typing.Any] = orjson.loads(response.content)
        return answer


def _encode(raw: bytes) -> str:
    """Return bytes in the gateway's text form."""
    return base64.b64encode(raw).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    """Return the key range of a prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {'key': _encode(start), 'range_end': _encode(end)}


def _entry(stored: dict[str, str]) -> key_value.Entry:
    """Return an entry of the gateway's answer."""
    return key_value.Entry(
        base64.b64decode(stored['key']).decode(),
        int(stored['mod_revision']),
        base64.b64decode(stored.get('value', '')),
    )


def _entries(answer: dict[str, typing.Any]) -> tuple[key_value.Entry, ...]:
    """Return the entries of a range's answer."""
    return tuple(_entry(stored) for stored in answer.get('kvs', ()))


def _watched(line: str) -> tuple[key_value.Entry, ...]:
    """Return the changes on one line of a watch's answer."""
    if not line:
        return ()
    events = orjson.loads(line).get('result', {}).get('events', ())
    return tuple(
        _entry(event['kv']) for event in events if event.get('type') != 'DELETE'
    )


def _first(
    entries: tuple[key_value.Entry, ...],
) -> key_value.Entry | None:
    """Return the only entry, None where there is none."""
    return entries[0] if entries else None


def _lease_id(answer: dict[str, typing.Any]) -> int:
    """Return the identifier of a granted lease."""
    return int(answer['ID'])


def _is_alive(answer: dict[str, typing.Any]) -> bool:
    """Return whether a renewed lease still lives."""
    return int(answer.get('result', {}).get('TTL', 0)) > 0


def _nothing(_answer: dict[str, typing.Any]) -> None:
    """Drop an answer without content."""
