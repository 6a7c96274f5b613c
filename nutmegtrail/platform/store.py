"""Client for the platform's key-value store."""

import base64
import collections.abc
import http
import json
import typing
import urllib.parse

import expression

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.platform import const
from nutmegtrail.platform import json_client
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


_DECODE_ERRORS: typing.Final = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


class _Page(typing.NamedTuple):
    """Page of a listing; `last_key` is None on the last page."""

    items: tuple[watched_store.Item, ...]
    revision: int
    last_key: str | None


class _Response(typing.NamedTuple):
    """Status and decoded body of a response."""

    status: int
    document: json_client.JsonObject


class PlatformStore:
    """Implements `ports.watched_store` and `ports.key_value.LeaseStore`.

    A request without a response may have been executed or may be executed
    later.
    """

    def __init__(self, address: models.Address) -> None:
        """Initialize the client without opening connections."""
        self._address = address
        self._client = json_client.JsonClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def snapshot(
        self,
        prefix: str,
    ) -> expression.Result[
        watched_store.Snapshot, watched_store.StoreUnavailable
    ]:
        """Return all items under a prefix; none is older than the call."""
        items: list[watched_store.Item] = []
        revision: int | None = None
        query = {'prefix': prefix}
        while True:
            response = await self._request(b'GET', const.RANGE_PATH, query)
            if isinstance(response, watched_store.StoreUnavailable):
                return expression.Error(response)
            if response.status != http.HTTPStatus.OK:
                return expression.Error(_unexpected_status(response))
            try:
                page = _decode_page(response.document)
            except _DECODE_ERRORS as error:
                return expression.Error(_malformed_response(error))
            if revision is None:
                revision = page.revision
            items.extend(page.items)
            if page.last_key is None:
                return expression.Ok(
                    watched_store.Snapshot(tuple(items), revision),
                )
            query = {'prefix': prefix, 'after': page.last_key}

    async def changes(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> expression.Result[watched_store.Changes, watched_store.ReadError]:
        """Wait for changes after a revision and return them."""
        wait_ms = int(wait_seconds * shared_const.MILLISECONDS_PER_SECOND)
        response = await self._request(
            b'GET',
            const.WATCH_PATH,
            {
                'prefix': prefix,
                'after': str(after_revision),
                'wait_ms': str(wait_ms),
            },
            timeout_seconds=wait_seconds + const.WATCH_TIMEOUT_MARGIN_SECONDS,
        )
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(response)
        if response.status == http.HTTPStatus.GONE:
            return expression.Error(watched_store.HistoryLost(after_revision))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(_unexpected_status(response))
        try:
            return expression.Ok(_decode_changes(response.document))
        except _DECODE_ERRORS as error:
            return expression.Error(_malformed_response(error))

    async def swap(
        self,
        key: str,
        expected_revision: int,
        content: bytes,
        lease_id: int = 0,
    ) -> expression.Result[int, key_value.SwapError]:
        """Write if the key is at the revision; return the new revision."""
        response = await self._request(
            b'POST',
            const.TRANSACTION_PATH,
            body={
                'expected': [{'key': key, 'revision': expected_revision}],
                'writes': [_encode_write(key, content, lease_id)],
                'deletes': [],
            },
        )
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(key_value.OutcomeUnknown(key))
        if response.status == http.HTTPStatus.PRECONDITION_FAILED:
            return expression.Error(key_value.CompareFailed(key))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(key_value.Unavailable(key))
        written = _integer(response, 'revision')
        if written is None:
            return expression.Error(key_value.OutcomeUnknown(key))
        return expression.Ok(written)

    async def write_batch(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        deleted_keys: collections.abc.Sequence[str],
        lease_id: int,
    ) -> expression.Result[None, key_value.BatchError]:
        """Write keys under a lease and delete others in one transaction."""
        response = await self._request(
            b'POST',
            const.TRANSACTION_PATH,
            body={
                'expected': [],
                'writes': [
                    _encode_write(key, content, lease_id)
                    for key, content in content_by_key.items()
                ],
                'deletes': list(deleted_keys),
            },
        )
        path = const.TRANSACTION_PATH
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(key_value.OutcomeUnknown(path))
        if response.status == http.HTTPStatus.NOT_FOUND:
            return expression.Error(key_value.LeaseGone(lease_id))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(key_value.Unavailable(path))
        return expression.Ok(None)

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, key_value.Unavailable]:
        """Create a lease and return its ID."""
        ttl_ms = ttl_seconds * shared_const.MILLISECONDS_PER_SECOND
        response = await self._request(
            b'POST',
            const.LEASE_GRANT_PATH,
            body={'ttl_ms': ttl_ms},
        )
        if (
            isinstance(response, _Response)
            and response.status == http.HTTPStatus.OK
        ):
            lease_id = _integer(response, 'lease')
            if lease_id is not None:
                return expression.Ok(lease_id)
        return expression.Error(key_value.Unavailable(const.LEASE_GRANT_PATH))

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, key_value.Unavailable]:
        """Renew a lease; return False if it has expired."""
        path = f'{const.LEASE_RENEW_PATH}/{lease_id}'
        response = await self._request(b'POST', path)
        if isinstance(response, _Response):
            if response.status == http.HTTPStatus.OK:
                return expression.Ok(value=True)
            if response.status == http.HTTPStatus.NOT_FOUND:
                return expression.Ok(value=False)
        return expression.Error(key_value.Unavailable(path))

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, key_value.Unavailable]:
        """Revoke a lease, which deletes its keys."""
        path = f'{const.LEASE_REVOKE_PATH}/{lease_id}'
        response = await self._request(b'DELETE', path)
        if isinstance(response, _Response) and response.status in {
            http.HTTPStatus.OK,
            http.HTTPStatus.NOT_FOUND,
        }:
            return expression.Ok(None)
        return expression.Error(key_value.Unavailable(path))

    async def _request(
        self,
        method: bytes,
        path: str,
        query: dict[str, str] | None = None,
        body: json_client.JsonObject | None = None,
        timeout_seconds: float = const.CALL_TIMEOUT_SECONDS,
    ) -> _Response | watched_store.StoreUnavailable:
        """Send a request and return the response, or why there is none."""
        target = path
        if query:
            target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        response = await self._client.send(
            self._address,
            method,
            target.encode(),
            json_client.JSON_HEADERS,
            b'' if body is None else json.dumps(body).encode(),
            timeout_seconds,
        )
        if isinstance(response, json_client.NoResponse):
            return watched_store.StoreUnavailable(f'{path}: {response.detail}')
        try:
            return _Response(response.status, _decode_body(response.body))
        except ValueError as error:
            return watched_store.StoreUnavailable(
                f'{path}: the response is not valid JSON: {error}',
            )


def _decode_body(body: bytes) -> json_client.JsonObject:
    """Return the JSON object in a body; raise ValueError if not JSON."""
    document = json.loads(body or b'{}')
    return document if isinstance(document, dict) else {}


def _unexpected_status(response: _Response) -> watched_store.StoreUnavailable:
    """Return the error for a status other than success."""
    return watched_store.StoreUnavailable(
        f'unexpected status {response.status}'
    )


def _malformed_response(error: Exception) -> watched_store.StoreUnavailable:
    """Return the error for a response with missing or invalid fields."""
    return watched_store.StoreUnavailable(f'malformed response: {error!r}')


def _integer(response: _Response, field: str) -> int | None:
    """Return an integer field of a response, None without one."""
    integer = response.document.get(field)
    return integer if isinstance(integer, int) else None


def _encode_write(
    key: str, content: bytes, lease_id: int
) -> json_client.JsonObject:
    """Encode a write of a transaction; lease 0 means none."""
    write: json_client.JsonObject = {
        'key': key,
        'value': base64.b64encode(content).decode(),
    }
    if lease_id:
        write['lease'] = lease_id
    return write


def _decode_page(document: json_client.JsonObject) -> _Page:
    """Decode a page of a listing."""
    items = tuple(_decode_item(row) for row in document['items'])
    last_key = items[-1].key if document['has_more'] else None
    return _Page(items, int(document['current_rev']), last_key)


def _decode_changes(document: json_client.JsonObject) -> watched_store.Changes:
    """Decode the changes in the response to a watch."""
    return watched_store.Changes(
        tuple(_decode_change(row) for row in document['events']),
        int(document['current_rev']),
    )


def _decode_change(
    row: json_client.JsonObject,
) -> watched_store.Item | watched_store.Removal:
    """Decode a change or a removal."""
    if row.get('removed'):
        return watched_store.Removal(row['key'], int(row['revision']))
    return _decode_item(row)


def _decode_item(row: json_client.JsonObject) -> watched_store.Item:
    """Decode a stored item."""
    return watched_store.Item(
        row['key'],
        int(row['revision']),
        base64.b64decode(row['value']),
    )
