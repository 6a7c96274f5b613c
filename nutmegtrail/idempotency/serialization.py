"""Stored form of a claim log: JSON with one list per record."""

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
    """Decode a stored log.

    Raises LogCorrupted if the content is not a valid claim log.
    """
    try:
        return _decode(orjson.loads(content))
    except (ValueError, TypeError, KeyError) as error:
        raise errors.LogCorrupted(f'claim log is corrupted: {error}') from error


def _decode(stored: dict[str, typing.Any]) -> models.Log:
    """Build a log from its parsed JSON document."""
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
    """Return a record as a list of its fields."""
    row: list[object] = list(record[:-1])
    response = record.response
    if response is not None:
        body = base64.b64encode(response.body).decode()
        row.append(
            [
                response.status,
                response.content_type,
                body,
                response.is_body_stored,
            ]
        )
    return row


def _decode_record(row: list[typing.Any]) -> models.Record:
    """Build a record, with its response if it has one, from a list."""
    *claim_row, response_row = row
    if not isinstance(response_row, list):
        return _decode_claim(row)
    status, content_type, body, is_body_stored = response_row
    response = models.StoredResponse(
        status,
        content_type,
        base64.b64decode(body),
        is_body_stored,
    )
    return _decode_claim(claim_row)._replace(response=response)


def _decode_claim(row: list[typing.Any]) -> models.Record:
    """Build a record without a response from a list."""
    record_id, request_id, body_digest, incarnation, status, claimed_at = row
    return models.Record(
        record_id,
        request_id,
        body_digest,
        incarnation,
        models.Status(status),
        claimed_at,
    )
