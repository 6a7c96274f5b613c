"""Encoding that is asked of peers."""

import typing

# A compressed body may grow a thousandfold after it was counted.
IDENTITY: typing.Final = 'identity'
