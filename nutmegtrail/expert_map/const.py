"""Parameters of the switch protocol and of the placement."""

import typing

RELEASE_WINDOW_STEPS: typing.Final = 64
SWITCH_MARGIN_STEPS: typing.Final = 16
HELD_TIMEOUT_SECONDS: typing.Final = 0.5
ORDER_LIFETIME_SECONDS: typing.Final = 5.0
