"""Constants of the evacuation of failure domains."""

import typing

# Operators write again what an earlier copy of the store lacks, within this
# time after the store came back.
REWRITE_SECONDS: typing.Final = 6.0
# Below every revision of a store.
UNKNOWN_REVISION: typing.Final = -1
