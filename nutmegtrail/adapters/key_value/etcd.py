"""Key-value client for the JSON API of the etcd v3 gRPC gateway."""

import base64
import collections.abc
import typing

import expression
import httpx
import orjson

from nutmegtrail import models
from nutmegtrail.adapters.bounded_http import client as bounded_http
from nutmegtrail.adapters.bounded_http import models as bounded_models
from nutmegtrail.adapters.key_value import const
from nutmegtrail.byte_budget import budget
from nutmegtrail.ports import key_value

_CALL_LIMITS: typing.Final = bounded_models.Limits(
    const.ANSWER_LIMIT_BYTES, const.CALL_TIMEOUT_SECONDS
)
_LINE_LIMITS: typing.Final = bounded_models.Limits(
    const.ANSWER_LIMIT_BYTES, const.WATCH_IDLE_TIMEOUT_SECONDS
)
_NOT_SENT_ERRORS: typing.Final = (httpx.ConnectError, httpx.ConnectTimeout)


class EtcdStore:
    """Implements `ports.key_value.EntryStore`; counts reads and writes."""

    def __init__(self, address: models.Address) -> None:
        """Initialize the client without opening connections."""
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            headers=bounded_http.HEADERS,
            timeout=httpx.Timeout(
                const.CALL_TIMEOUT_SECONDS,
                connect=const.CONNECT_TIMEOUT_SECONDS,
            ),
        )
        self._budget = budget.ByteBudget(const.ANSWERS_LIMIT_BYTES)
        self.reads = 0
        self.writes = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(
        self,
        key: str,
    ) -> expression.Result[key_value.Entry | None, key_value.Unavailable]:
        """Return the entry of a key, None if the key does not exist."""
        entries = await self._range({'key': _encode(key.encode())}, key)
        return entries.map(_first_or_none)

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
        return await self._transact({key: content}, expected_revision, lease_id)

    async def listing(
        self, prefix: str
    ) -> expression.Result[
        collections.abc.Mapping[str, bytes], key_value.Unavailable
    ]:
        """Return the contents under a prefix by key."""
        entries = await self.scan(prefix)
        return entries.map(_contents_by_key)

    async def create(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        lease_id: int,
    ) -> expression.Result[None, key_value.SwapError]:
        """Create keys under a lease, all or none of them."""
        created = await self._transact(
            content_by_key, key_value.ABSENT_REVISION, lease_id
        )
        return created.map(_discard)

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, key_value.Unavailable]:
        """Create a lease and return its ID."""
        self.writes += 1
        response = await self._send(
            '/v3/lease/grant', {'TTL': str(ttl_seconds)}
        )
        return response.map(_decode_lease_id)

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, key_value.Unavailable]:
        """Renew a lease; return False if it has expired."""
        self.writes += 1
        request = {'ID': str(lease_id)}
        response = await self._send('/v3/lease/keepalive', request)
        return response.map(_is_alive)

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, key_value.Unavailable]:
        """Revoke a lease, which deletes its keys."""
        self.writes += 1
        response = await self._send('/v3/lease/revoke', {'ID': str(lease_id)})
        return response.map(_discard)

    async def watch(
        self,
        prefix: str,
        start_revision: int,
    ) -> collections.abc.AsyncIterator[key_value.Entry]:
        """Yield each change under the prefix until the service fails."""
        self.reads += 1
        request = _prefix_range(prefix)
        request['start_revision'] = str(start_revision)
        try:
            async for line in self._stream_lines({'create_request': request}):
                for entry in _decode_events(line):
                    yield entry
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return

    async def _stream_lines(
        self,
        request: dict[str, typing.Any],
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the lines of the response to a watch."""
        watch = self._client.build_request(
            'POST',
            '/v3/watch',
            content=orjson.dumps(request),
            timeout=httpx.Timeout(
                const.WATCH_IDLE_TIMEOUT_SECONDS,
                connect=const.CONNECT_TIMEOUT_SECONDS,
            ),
        )
        async with bounded_http.stream(
            self._client, watch, _LINE_LIMITS, self._budget
        ) as (response, reading):
            response.raise_for_status()
            reader = bounded_http.LineReader(response, reading)
            async for line in reader.lines():
                yield line

    async def _transact(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        expected_revision: int,
        lease_id: int,
    ) -> expression.Result[int, key_value.SwapError]:
        """Write keys if all are at the revision; return the new revision."""
        self.writes += 1
        path = '/v3/kv/txn'
        failed_key = next(iter(content_by_key), path)
        try:
            response = await self._post(
                path, _encode_swap(content_by_key, expected_revision, lease_id)
            )
        except _NOT_SENT_ERRORS:
            return expression.Error(key_value.Unavailable(failed_key))
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return expression.Error(key_value.OutcomeUnknown(failed_key))
        if not response.get('succeeded'):
            return expression.Error(key_value.CompareFailed(failed_key))
        return expression.Ok(int(response['header']['revision']))

    async def _range(
        self,
        request: dict[str, str],
        key: str,
    ) -> expression.Result[tuple[key_value.Entry, ...], key_value.Unavailable]:
        """Return the entries of a key range."""
        self.reads += 1
        response = await self._send('/v3/kv/range', request, key)
        return response.map(_decode_entries)

    async def _send(
        self,
        path: str,
        request: dict[str, str],
        key: str = '',
    ) -> expression.Result[dict[str, typing.Any], key_value.Unavailable]:
        """Send a request that is safe to repeat and return the response."""
        try:
            return expression.Ok(await self._post(path, request))
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return expression.Error(key_value.Unavailable(key))

    async def _post(
        self,
        path: str,
        request: object,
    ) -> dict[str, typing.Any]:
        """Send a request and return the decoded response."""
        response = await bounded_http.fetch(
            self._client,
            self._client.build_request(
                'POST', path, content=orjson.dumps(request)
            ),
            _CALL_LIMITS,
            self._budget,
        )
        response.raise_for_status()
        document: dict[str, typing.Any] = orjson.loads(response.content)
        return document


def _encode(raw: bytes) -> str:
    """Return bytes in base64, as the gateway expects them."""
    return base64.b64encode(raw).decode()


def _encode_swap(
    content_by_key: collections.abc.Mapping[str, bytes],
    expected_revision: int,
    lease_id: int,
) -> dict[str, object]:
    """Return a transaction that writes keys if all are at the revision."""
    encoded_by_key = {
        _encode(key.encode()): _encode(content)
        for key, content in content_by_key.items()
    }
    return {
        'compare': [
            {
                'key': key,
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': str(expected_revision),
            }
            for key in encoded_by_key
        ],
        'success': [
            {
                'request_put': {
                    'key': key,
                    'value': content,
                    'lease': str(lease_id),
                }
            }
            for key, content in encoded_by_key.items()
        ],
    }


def _prefix_range(prefix: str) -> dict[str, str]:
    """Return the key range that covers a prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {'key': _encode(start), 'range_end': _encode(end)}


def _decode_entry(stored: dict[str, str]) -> key_value.Entry:
    """Decode an entry."""
    return key_value.Entry(
        base64.b64decode(stored['key']).decode(),
        int(stored['mod_revision']),
        base64.b64decode(stored.get('value', '')),
    )


def _decode_entries(
    response: dict[str, typing.Any],
) -> tuple[key_value.Entry, ...]:
    """Decode the entries in the response to a range read."""
    return tuple(_decode_entry(stored) for stored in response.get('kvs', ()))


def _decode_events(line: bytes) -> tuple[key_value.Entry, ...]:
    """Decode the changes on one line of a watch; skip deletions."""
    if not line:
        return ()
    events = orjson.loads(line).get('result', {}).get('events', ())
    return tuple(
        _decode_entry(event['kv'])
        for event in events
        if event.get('type') != 'DELETE'
    )


def _first_or_none(
    entries: tuple[key_value.Entry, ...],
) -> key_value.Entry | None:
    """Return the first entry, None without entries."""
    return entries[0] if entries else None


def _contents_by_key(
    entries: tuple[key_value.Entry, ...],
) -> collections.abc.Mapping[str, bytes]:
    """Return the contents of entries by key."""
    return {entry.key: entry.content for entry in entries}


def _decode_lease_id(response: dict[str, typing.Any]) -> int:
    """Decode the ID of a granted lease."""
    return int(response['ID'])


def _is_alive(response: dict[str, typing.Any]) -> bool:
    """Return whether a renewed lease has any time left."""
    return int(response.get('result', {}).get('TTL', 0)) > 0


def _discard(_response: object) -> None:
    """Discard a response without content."""
