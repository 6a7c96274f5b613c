"""Exit codes of the command line."""

import typing

EXIT_SETTINGS: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_UNAVAILABLE: typing.Final = 4
EXIT_UNKNOWN: typing.Final = 5
EXIT_BEHIND: typing.Final = 6
