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


class _Layout(typing.NamedTuple):
    """Names of a message type in Python and in the schema."""

    message_type: typing.Any
    member: str
    names: tuple[tuple[str, str], ...]


def _camel_case(name: str) -> str:
    """Return the schema's spelling of a Python field name."""
    return re.sub('_([a-z])', _upper_group, name)


def _upper_group(match: re.Match[str]) -> str:
    """Return the matched letter in upper case."""
    return match.group(1).upper()


def _layout(message_type: typing.Any) -> _Layout:
    """Return the names of one message type."""
    type_name = message_type.__name__
    member = type_name[0].lower() + type_name[1:]
    names = tuple((name, _camel_case(name)) for name in message_type._fields)
    return _Layout(message_type, member, names)


_LAYOUTS: typing.Final = tuple(
    _layout(message_type) for message_type in typing.get_args(models.Message)
)
_LAYOUTS_BY_TYPE: typing.Final = types.MappingProxyType(
    {layout.message_type: layout for layout in _LAYOUTS},
)
_LAYOUTS_BY_MEMBER: typing.Final = types.MappingProxyType(
    {layout.member: layout for layout in _LAYOUTS},
)


def encode(message: models.Message) -> bytes:
    """Return the frame of a message, its length first."""
    layout = _LAYOUTS_BY_TYPE[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    target = envelope.init(layout.member)
    for name, schema_name in layout.names:
        field = getattr(message, name)
        setattr(target, schema_name, _to_schema(field))
    body: bytes = envelope.to_bytes()
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, 'big') + body


def decode(body: bytes) -> models.Message:
    """Return the message in a frame's body; raise WireError if damaged."""
    try:
        return _read(body)
    except (capnp.KjException, LookupError, ValueError) as error:
        raise errors.WireError(f'unreadable frame: {error}') from error


def _read(body: bytes) -> models.Message:
    """Return the message in a frame's body."""
    with _SCHEMA.Envelope.from_bytes(body) as envelope:
        layout = _LAYOUTS_BY_MEMBER[str(envelope.which())]
        source = getattr(envelope, layout.member)
        fields = [
            _from_schema(getattr(source, schema_name))
            for _, schema_name in layout.names
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


class FrameBuffer:
    """Collects received bytes and gives out whole messages."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._received = bytearray()

    def feed(self, received: bytes) -> list[models.Message]:
        """Return the messages completed by the received bytes."""
        self._received += received
        messages: list[models.Message] = []
        while True:
            body = self._next_body()
            if body is None:
                return messages
            messages.append(decode(body))

    def _next_body(self) -> bytes | None:
        """Return and remove the first whole frame's body."""
        header = self._received[: const.FRAME_HEADER_BYTES]
        if len(header) < const.FRAME_HEADER_BYTES:
            return None
        length = int.from_bytes(header, 'big')
        if length > const.FRAME_LIMIT_BYTES:
            raise errors.WireError(f'frame of {length} bytes is too long')
        end = const.FRAME_HEADER_BYTES + length
        if len(self._received) < end:
            return None
        body = bytes(self._received[const.FRAME_HEADER_BYTES : end])
        self._received = self._received[end:]
        return body
