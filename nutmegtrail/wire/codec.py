"""Cap'n Proto encoding of messages, with length-prefixed framing."""

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
    """Names of a message type and its fields in Python and the schema."""

    message_type: typing.Any
    union_member: str
    field_names: tuple[tuple[str, str], ...]


def _camel_case(name: str) -> str:
    """Return a Python field name in the schema's camel case."""
    return re.sub('_([a-z])', _upper_case_group, name)


def _upper_case_group(match: re.Match[str]) -> str:
    """Return the matched letter in upper case."""
    return match.group(1).upper()


def _build_layout(message_type: typing.Any) -> _MessageLayout:
    """Return the layout of one message type."""
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
    """Return a message as a frame that starts with its length."""
    layout = _LAYOUTS_BY_TYPE[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    struct = envelope.init(layout.union_member)
    for name, schema_name in layout.field_names:
        field = getattr(message, name)
        setattr(struct, schema_name, _to_schema(field))
    body: bytes = envelope.to_bytes()
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, 'big') + body


def decode(body: bytes) -> models.Message:
    """Return the message in a frame's body; raise WireError if invalid."""
    try:
        return _parse(body)
    except (capnp.KjException, LookupError, ValueError) as error:
        raise errors.WireError(f'invalid message frame: {error}') from error


def _parse(body: bytes) -> models.Message:
    """Parse a frame's body without translating errors."""
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
    """Return a field in the form that pycapnp accepts."""
    return list(field) if isinstance(field, tuple) else field


def _from_schema(field: object) -> object:
    """Return a pycapnp field as a plain Python object."""
    if isinstance(field, str | bytes | bool | int | float):
        return field
    return tuple(typing.cast('typing.Iterable[object]', field))


class FrameDecoder:
    """Decodes messages from a stream of received bytes."""

    def __init__(self) -> None:
        """Initialize the decoder with an empty buffer."""
        self._buffer = bytearray()

    @property
    def kept_bytes(self) -> int:
        """Return the size of the incomplete frame."""
        return len(self._buffer)

    def feed(self, received: bytes) -> list[models.Message]:
        """Add received bytes and return the messages they complete."""
        self._buffer += received
        messages: list[models.Message] = []
        while True:
            body = self._pop_frame()
            if body is None:
                return messages
            messages.append(decode(body))

    def _pop_frame(self) -> bytes | None:
        """Remove the first frame; return its body, None if incomplete.

        Raises WireError if the frame is longer than the limit.
        """
        header = self._buffer[: const.FRAME_HEADER_BYTES]
        if len(header) < const.FRAME_HEADER_BYTES:
            return None
        length = int.from_bytes(header, 'big')
        if length > const.MAX_FRAME_BYTES:
            raise errors.WireError(f'frame of {length} bytes is over the limit')
        end = const.FRAME_HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[const.FRAME_HEADER_BYTES : end])
        self._buffer = self._buffer[end:]
        return body
