"""Parameters of the switch protocol and of the placement."""

import typing

RELEASE_WINDOW_STEPS: typing.Final = 64
SWITCH_MARGIN_STEPS: typing.Final = 16
DECISION_TIMEOUT_SECONDS: typing.Final = 0.5
ENGINE_POLL_SECONDS: typing.Final = 0.1
SETTINGS_RETRY_SECONDS: typing.Final = 1.0
PROPOSAL_INTERVAL_SECONDS: typing.Final = 1.0
PROPOSAL_ATTEMPTS: typing.Final = 30
ORDER_LIFETIME_SECONDS: typing.Final = 5.0
