"""Constants of the switch protocol between sidecars."""

import typing

# Steps that an engine may run beyond the last one that it has completed.
RELEASE_WINDOW_STEPS: typing.Final = 64
# Steps between the proposer's horizon and the first step of a proposed map.
SWITCH_MARGIN_STEPS: typing.Final = 16
# A member without a decision starts a resolution after this time, multiplied
# by a random factor between one and two.
DECISION_TIMEOUT_SECONDS: typing.Final = 0.5
ENGINE_POLL_SECONDS: typing.Final = 0.1
SETTINGS_RETRY_SECONDS: typing.Final = 1.0
PROPOSAL_INTERVAL_SECONDS: typing.Final = 1.0
PROPOSAL_ATTEMPTS: typing.Final = 30
# An order may take effect up to this long after it was sent. Engines without
# fencing are read only after this time.
ORDER_LIFETIME_SECONDS: typing.Final = 5.0
