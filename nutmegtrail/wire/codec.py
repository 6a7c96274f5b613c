"""Cap'n Proto encoding of messages and length-prefixed framing."""

import pathlib
import re
import types
import typing

import capnp

from nutmegtrail.wire import const
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

_SCHEMA: typing.Final = capnp.load(
    str(pathlib.Path(__file__).with_name('envelope.capnp')),
)


class _MessageLayout(typing.NamedTuple):
    """Names of a message type in Python and in the schema."""

    message_type: typing.Any
    union_member: str
    field_names: tuple[tuple[str, str], ...]


def _camel_case(name: str) -> str:
    """Return the schema's spelling of a Python field name."""
    return re.sub('_([a-z])', _upper_case_group, name)


def _upper_case_group(match: re.Match[str]) -> str:
    """Return the matched letter in upper case."""
    return match.group(1).upper()


def _build_layout(message_type: typing.Any) -> _MessageLayout:
    """Return the names of one message type."""
    type_name = message_type.__name__
    union_member = type_name[0].lower() + type_name[1:]
    field_names = tuple(
        (name, _camel_case(name)) for name in message_type._fields
    )
    return _MessageLayout(message_type, union_member, field_names)


_LAYOUTS: typing.Final = tuple(
    _build_layout(message_type)
    for message_type in typing.get_args(models.Message)
)
_LAYOUTS_BY_TYPE: typing.Final = types.MappingProxyType(
    {layout.message_type: layout for layout in _LAYOUTS},
)
_LAYOUTS_BY_UNION_MEMBER: typing.Final = types.MappingProxyType(
    {layout.union_member: layout for layout in _LAYOUTS},
)


def encode(message: models.Message) -> bytes:
    """Return the frame of a message, its length first."""
    layout = _LAYOUTS_BY_TYPE[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    struct = envelope.init(layout.union_member)
    for name, schema_name in layout.field_names:
        field = getattr(message, name)
        setattr(struct, schema_name, _to_schema(field))
    body: bytes = envelope.to_bytes()
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, 'big') + body


def decode(body: bytes) -> models.Message:
    """Return the message in a frame's body; raise WireError if damaged."""
    try:
        return _parse(body)
    except (capnp.KjException, LookupError, ValueError) as error:
        raise errors.WireError(f'unreadable frame: {error}') from error


def _parse(body: bytes) -> models.Message:
    """Return the message in a frame's body."""
    with _SCHEMA.Envelope.from_bytes(body) as envelope:
        layout = _LAYOUTS_BY_UNION_MEMBER[str(envelope.which())]
        struct = getattr(envelope, layout.union_member)
        fields = [
            _from_schema(getattr(struct, schema_name))
            for _, schema_name in layout.field_names
        ]
    message: models.Message = layout.message_type(*fields)
    return message


def _to_schema(field: object) -> object:
    """Return a field in the form that the schema library takes."""
    return list(field) if isinstance(field, tuple) else field


def _from_schema(field: object) -> object:
    """Return a field of the schema library as a plain Python object."""
    if isinstance(field, str | bytes | bool | int | float):
        return field
    return tuple(typing.cast('typing.Iterable[object]', field))


class FrameDecoder:
    """Collects received bytes and gives out whole messages."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[models.Message]:
        """Return the messages completed by the received bytes."""
        self._buffer += received
        messages: list[models.Message] = []
        while True:
            body = self._pop_frame()
            if body is None:
                return messages
            messages.append(decode(body))

    def _pop_frame(self) -> bytes | None:
        """Return and remove the first whole frame's body."""
        header = self._buffer[: const.FRAME_HEADER_BYTES]
        if len(header) < const.FRAME_HEADER_BYTES:
            return None
        length = int.from_bytes(header, 'big')
        if length > const.MAX_FRAME_BYTES:
            raise errors.WireError(f'frame of {length} bytes is too long')
        end = const.FRAME_HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[const.FRAME_HEADER_BYTES : end])
        self._buffer = self._buffer[end:]
        return body
