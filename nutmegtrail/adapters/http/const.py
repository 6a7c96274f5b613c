"""Content types, timeouts and status codes of the HTTP server."""

import typing

CONTENT_TYPE_JSON: typing.Final = 'application/json'
CONTENT_TYPE_PROBLEM: typing.Final = 'application/problem+json'
CONTENT_TYPE_TEXT: typing.Final = 'text/plain; charset=utf-8'
CONTENT_TYPE_EVENTS: typing.Final = 'text/event-stream'
SHUTDOWN_TIMEOUT_SECONDS: typing.Final = 5.0
KEEP_ALIVE_SECONDS: typing.Final = 30.0
READ_TIMEOUT_SECONDS: typing.Final = 60
HTTP_OK: typing.Final = 200
HTTP_BAD_REQUEST: typing.Final = 400
HTTP_NOT_FOUND: typing.Final = 404
HTTP_REQUEST_TIMEOUT: typing.Final = 408
HTTP_CONTENT_TOO_LARGE: typing.Final = 413
