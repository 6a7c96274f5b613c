"""Content types, limits and status codes of the HTTP server."""

import typing

CONTENT_TYPE_JSON: typing.Final = 'application/json'
CONTENT_TYPE_PROBLEM: typing.Final = 'application/problem+json'
CONTENT_TYPE_TEXT: typing.Final = 'text/plain; charset=utf-8'
CONTENT_TYPE_EVENTS: typing.Final = 'text/event-stream'
KEEP_ALIVE_SECONDS: typing.Final = 30.0
HEADER_LIMIT_BYTES: typing.Final = 65_536
HTTP_OK: typing.Final = 200
HTTP_BAD_REQUEST: typing.Final = 400
HTTP_NOT_FOUND: typing.Final = 404
HTTP_INTERNAL_SERVER_ERROR: typing.Final = 500
