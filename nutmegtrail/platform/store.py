"""Client of the platform's store."""

import base64
import http
import json
import typing
import urllib.parse

import expression

from nutmegtrail import const as shared_const
from nutmegtrail import models
from nutmegtrail.platform import calls
from nutmegtrail.platform import const
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


_MALFORMED: typing.Final = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


class _Page(typing.NamedTuple):
    """Items of a listing; `last_key` is set where more follow."""

    items: tuple[watched_store.Item, ...]
    revision: int
    last_key: str | None


class _Answer(typing.NamedTuple):
    """Status and body of a call that was answered."""

    status: int
    document: calls.Document


class PlatformStore:
    """Implements `ports.watched_store` and the leases of `ports.key_value`.

    A call without an answer may have been carried out, at once or late.
    """

    def __init__(self, address: models.Address) -> None:
        """Keep the address; nothing is connected yet."""
        self._address = address
        self._calls = calls.Calls()

    async def close(self) -> None:
        """Close the connections."""
        await self._calls.close()

    async def snapshot(
        self,
        prefix: str,
    ) -> expression.Result[
        watched_store.Snapshot, watched_store.StoreUnavailable
    ]:
        """Return all items under a prefix, none of them stale."""
        items: list[watched_store.Item] = []
        revision: int | None = None
        query = {'prefix': prefix}
        while True:
            answer = await self._call(b'GET', const.READ_RANGE, query)
            if isinstance(answer, watched_store.StoreUnavailable):
                return expression.Error(answer)
            if answer.status != http.HTTPStatus.OK:
                return expression.Error(_refused(answer))
            try:
                page = _page(answer.document)
            except _MALFORMED as error:
                return expression.Error(_unreadable(error))
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
        """Return the changes after a revision as soon as there is one."""
        milliseconds = int(wait_seconds * shared_const.MILLISECONDS_PER_SECOND)
        answer = await self._call(
            b'GET',
            const.WATCH,
            {
                'prefix': prefix,
                'after': str(after_revision),
                'wait_ms': str(milliseconds),
            },
            timeout_seconds=wait_seconds + const.WATCH_SLACK_SECONDS,
        )
        if isinstance(answer, watched_store.StoreUnavailable):
            return expression.Error(answer)
        if answer.status == http.HTTPStatus.GONE:
            return expression.Error(watched_store.HistoryLost(after_revision))
        if answer.status != http.HTTPStatus.OK:
            return expression.Error(_refused(answer))
        try:
            return expression.Ok(_changes(answer.document))
        except _MALFORMED as error:
            return expression.Error(_unreadable(error))

    async def swap(
        self,
        key: str,
        expected_revision: int,
        content: bytes,
        lease_id: int = 0,
    ) -> expression.Result[int, key_value.SwapError]:
        """Write if the key is at the revision; return the new revision."""
        write: calls.Document = {
            'key': key,
            'value': base64.b64encode(content).decode(),
        }
        if lease_id:
            write['lease'] = lease_id
        answer = await self._call(
            b'POST',
            const.TRANSACTION,
            body={
                'expected': [{'key': key, 'revision': expected_revision}],
                'writes': [write],
                'deletes': [],
            },
        )
        if isinstance(answer, watched_store.StoreUnavailable):
            return expression.Error(key_value.OutcomeUnknown(key))
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            return expression.Error(key_value.CompareFailed(key))
        if answer.status != http.HTTPStatus.OK:
            return expression.Error(key_value.Unavailable(key))
        written = _number(answer, 'revision')
        if written is None:
            return expression.Error(key_value.OutcomeUnknown(key))
        return expression.Ok(written)

    async def grant_lease(
        self,
        ttl_seconds: int,
    ) -> expression.Result[int, key_value.Unavailable]:
        """Return the identifier of a new lease."""
        ttl_ms = ttl_seconds * shared_const.MILLISECONDS_PER_SECOND
        answer = await self._call(
            b'POST',
            const.GRANT_LEASE,
            body={'ttl_ms': ttl_ms},
        )
        if isinstance(answer, _Answer) and answer.status == http.HTTPStatus.OK:
            lease_id = _number(answer, 'lease')
            if lease_id is not None:
                return expression.Ok(lease_id)
        return expression.Error(key_value.Unavailable(const.GRANT_LEASE))

    async def keep_alive(
        self,
        lease_id: int,
    ) -> expression.Result[bool, key_value.Unavailable]:
        """Renew a lease; return False where it has lapsed."""
        path = f'{const.RENEW_LEASE}/{lease_id}'
        answer = await self._call(b'POST', path)
        if isinstance(answer, _Answer):
            if answer.status == http.HTTPStatus.OK:
                return expression.Ok(value=True)
            if answer.status == http.HTTPStatus.NOT_FOUND:
                return expression.Ok(value=False)
        return expression.Error(key_value.Unavailable(path))

    async def revoke_lease(
        self,
        lease_id: int,
    ) -> expression.Result[None, key_value.Unavailable]:
        """End a lease and delete its keys."""
        path = f'{const.END_LEASE}/{lease_id}'
        answer = await self._call(b'DELETE', path)
        if isinstance(answer, _Answer) and answer.status in {
            http.HTTPStatus.OK,
            http.HTTPStatus.NOT_FOUND,
        }:
            return expression.Ok(None)
        return expression.Error(key_value.Unavailable(path))

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str] | None = None,
        body: calls.Document | None = None,
        timeout_seconds: float = const.CALL_TIMEOUT_SECONDS,
    ) -> _Answer | watched_store.StoreUnavailable:
        """Return the answer of a call, or why there is none."""
        target = path
        if query:
            target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        answer = await self._calls.send(
            self._address,
            method,
            target.encode(),
            calls.JSON_BODY,
            b'' if body is None else json.dumps(body).encode(),
            timeout_seconds,
        )
        if isinstance(answer, calls.NoAnswer):
            return watched_store.StoreUnavailable(f'{path}: {answer.detail}')
        try:
            return _Answer(answer.status, _parse(answer.body))
        except ValueError as error:
            return watched_store.StoreUnavailable(
                f'{path}: the answer is not JSON: {error}',
            )


def _parse(body: bytes) -> calls.Document:
    """Return the JSON object of a body; raise ValueError if not JSON."""
    document = json.loads(body or b'{}')
    return document if isinstance(document, dict) else {}


def _refused(answer: _Answer) -> watched_store.StoreUnavailable:
    """Return the error for a status that grants nothing."""
    return watched_store.StoreUnavailable(f'status {answer.status}')


def _unreadable(error: Exception) -> watched_store.StoreUnavailable:
    """Return the error for an answer of another shape."""
    return watched_store.StoreUnavailable(f'unreadable answer: {error!r}')


def _number(answer: _Answer, field: str) -> int | None:
    """Return a number of an answer, None where there is none."""
    number = answer.document.get(field)
    return number if isinstance(number, int) else None


def _page(document: calls.Document) -> _Page:
    """Return a page of a listing."""
    items = tuple(_item(row) for row in document['items'])
    last_key = items[-1].key if document['has_more'] else None
    return _Page(items, int(document['current_rev']), last_key)


def _changes(document: calls.Document) -> watched_store.Changes:
    """Return the changes that a watch shows."""
    return watched_store.Changes(
        tuple(_change(row) for row in document['events']),
        int(document['current_rev']),
    )


def _change(row: calls.Document) -> watched_store.Item | watched_store.Removal:
    """Return a change of the watch."""
    if row.get('removed'):
        return watched_store.Removal(row['key'], int(row['revision']))
    return _item(row)


def _item(row: calls.Document) -> watched_store.Item:
    """Return a stored item."""
    return watched_store.Item(
        row['key'],
        int(row['revision']),
        base64.b64decode(row['value']),
    )
