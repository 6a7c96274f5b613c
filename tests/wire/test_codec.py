"""Every message survives encoding; damaged frames are refused."""

import typing

import hypothesis
import hypothesis.strategies
import testtools

from nutmegtrail.wire import codec
from nutmegtrail.wire import const
from nutmegtrail.wire import errors
from nutmegtrail.wire import models

_STRATEGIES_BY_TYPE = {
    str: hypothesis.strategies.text(max_size=8),
    bytes: hypothesis.strategies.binary(max_size=8),
    int: hypothesis.strategies.integers(0, 255),
    bool: hypothesis.strategies.booleans(),
    float: hypothesis.strategies.sampled_from((0.5, 1.0, 4.0)),
    tuple[str, ...]: hypothesis.strategies.just(('a', 'b')),
    tuple[int, ...]: hypothesis.strategies.just((1, 2)),
}


def _messages() -> hypothesis.strategies.SearchStrategy:
    """Return messages of every type."""
    return hypothesis.strategies.one_of(
        *(
            hypothesis.strategies.builds(
                message_type,
                **{
                    name: _STRATEGIES_BY_TYPE[hint]
                    for name, hint in typing.get_type_hints(
                        message_type,
                    ).items()
                },
            )
            for message_type in typing.get_args(models.Message)
        ),
    )


class CodecTest(testtools.TestCase):
    """The codec and its framing."""

    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(
        hypothesis.strategies.lists(_messages(), max_size=4),
        hypothesis.strategies.integers(1, 40),
    )
    def test_any_split_gives_the_same_messages(self, messages, size):
        """Messages are whole however their bytes are cut."""
        frames = b''.join(codec.encode(message) for message in messages)
        decoder = codec.FrameDecoder()
        received = []
        for start in range(0, len(frames), size):
            received.extend(decoder.feed(frames[start : start + size]))
        self.assertEqual(messages, received)

    def test_damaged_frame_is_refused(self):
        """Bytes that are no message raise the layer's error."""
        self.assertRaises(errors.WireError, codec.decode, b'no message')

    def test_oversized_frame_is_refused(self):
        """A frame over the limit is refused by its header alone."""
        header = (const.MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        decoder = codec.FrameDecoder()
        self.assertRaises(errors.WireError, decoder.feed, header)
