"""Client for the platform's key-value store."""

import base64
import collections
import collections.abc
import http
import json
import typing
import urllib.parse

import anyio
import expression

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.platform import const
from nutmegtrail.platform import era
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


_DECODE_ERRORS: typing.Final = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


# Before the first response.
_UNKNOWN_ERA: typing.Final = -1


def _ignore_response() -> None:
    """Do nothing when the store responds."""


class _Page(typing.NamedTuple):
    """Page of a listing; `last_key` is None on the last page."""

    items: tuple[watched_store.Item, ...]
    revision: int
    last_key: str | None


class _Lease(typing.NamedTuple):
    """Lease as the store knows it, and the era in which it was granted.

    Leases are any numbers, so that they cannot hold the era themselves.
    """

    era: int
    lease_id: int


_NO_LEASE: typing.Final = _Lease(0, 0)


class _Response(typing.NamedTuple):
    """Status, era of the store and decoded body of a response."""

    status: int
    era: int
    document: json_client.JsonObject


class _Question(typing.NamedTuple):
    """What is known when a request is sent, to tell its response by.

    `newest_revision` was read or written in the `era` before, and `leases`
    were granted.
    """

    path: str
    query: typing.Mapping[str, str]
    has_writes: bool
    era: int
    newest_revision: int
    leases: frozenset[int]

    def fits(self, response: json_client.Response) -> bool:
        """Return whether a response is not that of an earlier request."""
        if response.is_own or response.status != http.HTTPStatus.OK:
            return True
        try:
            document = decode_body(response.body)
        except ValueError:
            return False
        field = const.FIELD_BY_PATH.get(self.path)
        if field is None:
            return const.CALL_FIELDS.isdisjoint(document)
        if field not in document:
            return False
        if self.path == const.LEASE_GRANT_PATH:
            return document[field] not in self.leases
        if era.read(response.headers) != self.era:
            return True
        try:
            return self._is_current(document)
        except _DECODE_ERRORS:
            return False

    def _is_current(self, document: json_client.JsonObject) -> bool:
        """Return whether the keys and the revision can be those asked for."""
        if self.path == const.TRANSACTION_PATH:
            least_revision = self.newest_revision + int(self.has_writes)
            return int(document['revision']) >= least_revision
        rows = document.get('items') or document.get('events') or ()
        prefix = self.query['prefix']
        if not all(row['key'].startswith(prefix) for row in rows):
            return False
        least_revision = self.newest_revision
        if self.path == const.WATCH_PATH:
            # Other prefixes may have changed since the last event.
            least_revision = int(self.query['after'])
        return int(document['current_rev']) >= least_revision


class PlatformStore:
    """Implements `ports.watched_store` and the leases of `ports.key_value`.

    A request without a response may have been executed or may be executed
    later. Revisions include the era of the store. Leases are handles, which
    this client gives out.
    """

    def __init__(
        self,
        address: models.Address,
        on_response: typing.Callable[[], None] = _ignore_response,
    ) -> None:
        """Initialize the client without opening connections.

        `on_response` is called before any response is returned, but not for
        those by which the store refuses calls.
        """
        self._address = address
        self._on_response = on_response
        self._client = json_client.JsonClient()
        self._last_era = _UNKNOWN_ERA
        self._newest_revision = 0
        self._watch_scopes: set[anyio.CancelScope] = set()
        self._last_handle = 0
        self._leases_by_handle: collections.OrderedDict[int, _Lease] = (
            collections.OrderedDict()
        )

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
                page = _decode_page(response)
            except _DECODE_ERRORS as error:
                return expression.Error(_malformed_response(error))
            if revision is None:
                revision = page.revision
            if era.era_of(revision) != response.era:
                return expression.Error(_restored_meanwhile())
            items.extend(page.items)
            if page.last_key is None:
                return expression.Ok(
                    watched_store.Snapshot(
                        tuple(items), revision, response.era
                    ),
                )
            query = {'prefix': prefix, 'after': page.last_key}

    async def changes(
        self,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> expression.Result[watched_store.Changes, watched_store.ReadError]:
        """Wait for changes after a revision and return them.

        The wait ends when another response shows that the store came back
        from an earlier copy. A call that does not wait follows a failure,
        after which other kept connections may be silent, too.
        """
        wait_ms = int(wait_seconds * shared_const.MILLISECONDS_PER_SECOND)
        response: _Response | watched_store.StoreUnavailable | None = None
        with anyio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                response = await self._request(
                    b'GET',
                    const.WATCH_PATH,
                    {
                        'prefix': prefix,
                        'after': str(era.revision_of(after_revision)),
                        'wait_ms': str(wait_ms),
                    },
                    timeout_seconds=(
                        wait_seconds + const.WATCH_TIMEOUT_MARGIN_SECONDS
                    ),
                    needs_new_connection=not wait_ms,
                )
            finally:
                self._watch_scopes.discard(scope)
        if response is None:
            return expression.Error(watched_store.HistoryLost(after_revision))
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(response)
        if response.status == http.HTTPStatus.GONE:
            return expression.Error(watched_store.HistoryLost(after_revision))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(_unexpected_status(response))
        if response.era != era.era_of(after_revision):
            return expression.Error(watched_store.HistoryLost(after_revision))
        try:
            return expression.Ok(_decode_changes(response))
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
        lease = self._find_lease(lease_id)
        if self._is_outdated(expected_revision) or lease is None:
            return expression.Error(key_value.CompareFailed(key))
        expected = era.revision_of(expected_revision)
        response = await self._request(
            b'POST',
            const.TRANSACTION_PATH,
            body={
                'expected': [{'key': key, 'revision': expected}],
                'writes': [_encode_write(key, content, lease)],
                'deletes': [],
            },
        )
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(key_value.OutcomeUnknown(key))
        if response.status == http.HTTPStatus.PRECONDITION_FAILED:
            return expression.Error(key_value.CompareFailed(key))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(key_value.Unavailable(key))
        written = _revision(response, 'revision')
        if written is None:
            return expression.Error(key_value.OutcomeUnknown(key))
        return expression.Ok(written)

    async def listing(
        self, prefix: str
    ) -> expression.Result[
        collections.abc.Mapping[str, bytes], key_value.Unavailable
    ]:
        """Return the contents under a prefix by key."""
        listed = await self.snapshot(prefix)
        if listed.is_error():
            return expression.Error(key_value.Unavailable(prefix))
        return expression.Ok(
            {item.key: item.content for item in listed.ok.items}
        )

    async def create(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        lease_id: int,
    ) -> expression.Result[None, key_value.SwapError]:
        """Create keys under a lease in one transaction."""
        path = const.TRANSACTION_PATH
        lease = self._find_lease(lease_id)
        if lease is None:
            return expression.Error(key_value.CompareFailed(path))
        response = await self._request(
            b'POST',
            path,
            body={
                'expected': [
                    {'key': key, 'revision': key_value.ABSENT_REVISION}
                    for key in content_by_key
                ],
                'writes': [
                    _encode_write(key, content, lease)
                    for key, content in content_by_key.items()
                ],
                'deletes': [],
            },
        )
        if isinstance(response, watched_store.StoreUnavailable):
            return expression.Error(key_value.OutcomeUnknown(path))
        if response.status in {
            http.HTTPStatus.PRECONDITION_FAILED,
            http.HTTPStatus.NOT_FOUND,
        }:
            return expression.Error(key_value.CompareFailed(path))
        if response.status != http.HTTPStatus.OK:
            return expression.Error(key_value.Unavailable(path))
        return expression.Ok(None)

    async def write_batch(
        self,
        content_by_key: collections.abc.Mapping[str, bytes],
        deleted_keys: collections.abc.Sequence[str],
        lease_id: int,
    ) -> expression.Result[None, key_value.BatchError]:
        """Write keys under a lease and delete others in one transaction."""
        lease = self._find_lease(lease_id)
        if lease is None:
            return expression.Error(key_value.LeaseGone(lease_id))
        response = await self._request(
            b'POST',
            const.TRANSACTION_PATH,
            body={
                'expected': [],
                'writes': [
                    _encode_write(key, content, lease)
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
        """Create a lease and return its handle."""
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
            lease_id = response.document.get('lease')
            if isinstance(lease_id, int):
                return expression.Ok(
                    self._add_lease(_Lease(response.era, lease_id))
                )
        return expression.Error(key_value.Unavailable(const.LEASE_GRANT_PATH))

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, key_value.Unavailable]:
        """Renew a lease; return False if it has expired."""
        lease = self._find_lease(lease_id)
        if lease is None:
            return expression.Ok(value=False)
        path = f'{const.LEASE_RENEW_PATH}/{lease.lease_id}'
        response = await self._request(b'POST', path)
        if isinstance(response, _Response):
            if response.status == http.HTTPStatus.OK:
                # The answer may be the first one of a later era.
                is_live = self._find_lease(lease_id) is not None
                return expression.Ok(value=is_live)
            if response.status == http.HTTPStatus.NOT_FOUND:
                return expression.Ok(value=False)
        return expression.Error(key_value.Unavailable(path))

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, key_value.Unavailable]:
        """Revoke a lease, which deletes its keys."""
        lease = self._find_lease(lease_id)
        self._leases_by_handle.pop(lease_id, None)
        if lease is None:
            return expression.Ok(None)
        path = f'{const.LEASE_REVOKE_PATH}/{lease.lease_id}'
        response = await self._request(b'DELETE', path)
        if isinstance(response, _Response) and response.status in {
            http.HTTPStatus.OK,
            http.HTTPStatus.NOT_FOUND,
        }:
            return expression.Ok(None)
        return expression.Error(key_value.Unavailable(path))

    def _observe_era(self, response_era: int) -> None:
        """End waiting watches if a response is of a later era.

        Responses on other connections may be older.
        """
        if response_era <= self._last_era:
            return
        self._newest_revision = 0
        if self._last_era != _UNKNOWN_ERA:
            for scope in self._watch_scopes:
                scope.cancel()
        self._last_era = response_era

    def _is_outdated(self, revision: int) -> bool:
        """Return whether a revision is of an earlier era.

        The store may have given it to another change since.
        """
        return bool(revision) and era.era_of(revision) != self._last_era

    def _add_lease(self, lease: _Lease) -> int:
        """Return the handle of a new lease; the oldest ones are forgotten."""
        self._last_handle += 1
        self._leases_by_handle[self._last_handle] = lease
        if len(self._leases_by_handle) > const.KNOWN_LEASES_LIMIT:
            self._leases_by_handle.popitem(last=False)
        return self._last_handle

    def _find_lease(self, handle: int) -> _Lease | None:
        """Return the lease of a handle, None if it is of an earlier era.

        The store may have given its number to another lease since. Those of
        the copy may still be valid, but nothing tells which. Handle 0 stands
        for no lease.
        """
        if not handle:
            return _NO_LEASE
        lease = self._leases_by_handle.get(handle)
        if lease is None or lease.era != self._last_era:
            return None
        return lease

    def _question(
        self,
        path: str,
        query: typing.Mapping[str, str],
        body: json_client.JsonObject,
    ) -> _Question:
        """Return what is known before a request is sent."""
        return _Question(
            path,
            query,
            bool(body.get('writes')),
            self._last_era,
            self._newest_revision,
            frozenset(
                lease.lease_id
                for lease in self._leases_by_handle.values()
                if lease.era == self._last_era
            ),
        )

    def _observe(self, response: _Response) -> _Response:
        """Keep the newest revision that was written or listed."""
        for field in ('revision', 'current_rev'):
            revision = response.document.get(field)
            is_current = response.era == self._last_era
            if is_current and isinstance(revision, int):
                self._newest_revision = max(self._newest_revision, revision)
        return response

    async def _request(
        self,
        method: bytes,
        path: str,
        query: dict[str, str] | None = None,
        body: json_client.JsonObject | None = None,
        timeout_seconds: float = const.CALL_TIMEOUT_SECONDS,
        *,
        needs_new_connection: bool = False,
    ) -> _Response | watched_store.StoreUnavailable:
        """Send a request and return the response, or why there is none."""
        target = path
        if query:
            target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        question = self._question(path, query or {}, body or {})
        response = await self._client.send(
            self._address,
            method,
            target.encode(),
            json_client.JSON_HEADERS,
            b'' if body is None else json.dumps(body).encode(),
            timeout_seconds,
            json_client.Demands(
                needs_new_connection=needs_new_connection, fits=question.fits
            ),
        )
        if isinstance(response, json_client.NoResponse):
            return watched_store.StoreUnavailable(
                f'{path}: {response.detail}', response.has_timed_out
            )
        if not response.fits:
            return watched_store.StoreUnavailable(
                f'{path}: response to an earlier request'
            )
        response_era = era.read(response.headers)
        self._observe_era(response_era)
        try:
            document = decode_body(response.body)
        except ValueError as error:
            return watched_store.StoreUnavailable(
                f'{path}: the response is not valid JSON: {error}',
            )
        if not _is_refused(response.status):
            self._on_response()
        return self._observe(_Response(response.status, response_era, document))


def decode_body(body: bytes) -> json_client.JsonObject:
    """Return the JSON object in a body; raise ValueError if unreadable."""
    try:
        document = json.loads(body or b'{}')
    except RecursionError as error:
        raise ValueError('nested too deep') from error
    return document if isinstance(document, dict) else {}


def _is_refused(status: int) -> bool:
    """Return whether the store did not handle a call, whatever it was."""
    return (
        status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        or status == http.HTTPStatus.TOO_MANY_REQUESTS
    )


def _unexpected_status(response: _Response) -> watched_store.StoreUnavailable:
    """Return the error for a status other than success."""
    return watched_store.StoreUnavailable(
        f'unexpected status {response.status}'
    )


def _malformed_response(error: Exception) -> watched_store.StoreUnavailable:
    """Return the error for a response with missing or invalid fields."""
    return watched_store.StoreUnavailable(f'malformed response: {error!r}')


def _restored_meanwhile() -> watched_store.StoreUnavailable:
    """Return the error for a listing that spans two eras."""
    return watched_store.StoreUnavailable('restored during the listing')


def _revision(response: _Response, field: str) -> int | None:
    """Return a revision of a response, None without one."""
    integer = response.document.get(field)
    if isinstance(integer, int):
        return era.qualify(response.era, integer)
    return None


def _encode_write(
    key: str, content: bytes, lease: _Lease
) -> json_client.JsonObject:
    """Encode a write of a transaction, under a lease if there is one."""
    write: json_client.JsonObject = {
        'key': key,
        'value': base64.b64encode(content).decode(),
    }
    if lease.lease_id:
        write['lease'] = lease.lease_id
    return write


def _decode_page(response: _Response) -> _Page:
    """Decode a page of a listing."""
    document = response.document
    items = tuple(_decode_item(response.era, row) for row in document['items'])
    last_key = items[-1].key if document['has_more'] else None
    revision = era.qualify(response.era, int(document['current_rev']))
    return _Page(items, revision, last_key)


def _decode_changes(response: _Response) -> watched_store.Changes:
    """Decode the changes in the response to a watch."""
    document = response.document
    return watched_store.Changes(
        tuple(_decode_change(response.era, row) for row in document['events']),
        era.qualify(response.era, int(document['current_rev'])),
    )


def _decode_change(
    store_era: int, row: json_client.JsonObject
) -> watched_store.Item | watched_store.Removal:
    """Decode a change or a removal."""
    if row.get('removed'):
        revision = era.qualify(store_era, int(row['revision']))
        return watched_store.Removal(row['key'], revision)
    return _decode_item(store_era, row)


def _decode_item(
    store_era: int, row: json_client.JsonObject
) -> watched_store.Item:
    """Decode a stored item."""
    return watched_store.Item(
        row['key'],
        era.qualify(store_era, int(row['revision'])),
        base64.b64decode(row['value']),
    )
