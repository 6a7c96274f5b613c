"""Stored form of a claim log: JSON, records as rows."""

import base64
import typing

import orjson
import pyrsistent

from nutmegtrail.idempotency import errors
from nutmegtrail.idempotency import models


def encode_log(log: models.Log) -> bytes:
    """Return the stored form of a log."""
    return orjson.dumps(
        {
            'owner': list(log.owner),
            'batch': log.batch_id,
            'records': [
                _encode_record(record) for record in log.records_by_id.values()
            ],
            'tombstones': dict(log.tombstones_by_request_id),
        },
    )


def decode_log(content: bytes) -> models.Log:
    """Return a stored log; raise LogDamaged if it can not be read."""
    try:
        return _decode(orjson.loads(content))
    except (ValueError, TypeError, KeyError) as error:
        raise errors.LogDamaged(f'claim log is damaged: {error}') from error


def _decode(stored: dict[str, typing.Any]) -> models.Log:
    """Return the log in a stored document."""
    records = [_decode_record(row) for row in stored['records']]
    return models.Log(
        owner=models.Owner(*stored['owner']),
        batch_id=stored['batch'],
        records_by_id=pyrsistent.pmap(
            {record.record_id: record for record in records},
        ),
        tombstones_by_request_id=pyrsistent.pmap(stored['tombstones']),
    )


def _encode_record(record: models.Record) -> list[object]:
    """Return the row of a record."""
    row: list[object] = list(record[:-1])
    response = record.response
    if response is not None:
        body = base64.b64encode(response.body).decode()
        row.append(
            [response.status, response.content_type, body, response.kept]
        )
    return row


def _decode_record(row: list[typing.Any]) -> models.Record:
    """Return the record of a row."""
    *plain, last = row
    if not isinstance(last, list):
        return _claim(row)
    status, content_type, body, kept = last
    response = models.StoredResponse(
        status,
        content_type,
        base64.b64decode(body),
        kept,
    )
    return _claim(plain)._replace(response=response)


def _claim(row: list[typing.Any]) -> models.Record:
    """Return a record without an answer."""
    record_id, request_id, body_digest, incarnation, status, claimed_at = row
    return models.Record(
        record_id,
        request_id,
        body_digest,
        incarnation,
        models.Status(status),
        claimed_at,
    )
