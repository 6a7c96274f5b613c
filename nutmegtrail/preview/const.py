"""Constants of the preview of a request."""

import typing

# On the address for metrics of an entry.
PATH: typing.Final = '/preview'
