"""Kinds of bytes that a process keeps."""

import enum
import typing


class Kind(enum.IntEnum):
    """What kept bytes belong to; the first kind gives way first.

    A REQUEST has not begun to run. One that is RUNNING never gives way.
    """

    RESPONSE = 0
    REQUEST = 1
    DELIVERY = 2
    RUNNING = 3


DROPPABLE_KINDS: typing.Final = (Kind.RESPONSE, Kind.REQUEST, Kind.DELIVERY)
