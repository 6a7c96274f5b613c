"""Messages in which entries tell each other their requests by service."""

import typing

from nutmegtrail import checks
from nutmegtrail.retry_budget import const


class VolumeMessage(typing.NamedTuple):
    """Requests at an entry within the window, for some of its services."""

    entry: str
    requests_by_service: dict[str, float]


def split(message: VolumeMessage) -> list[VolumeMessage]:
    """Return messages that are small enough for one datagram each."""
    counts = sorted(message.requests_by_service.items())
    return [
        VolumeMessage(
            message.entry,
            dict(counts[start : start + const.SERVICES_PER_DATAGRAM]),
        )
        for start in range(0, len(counts), const.SERVICES_PER_DATAGRAM)
    ]


def to_document(message: VolumeMessage) -> dict[str, object]:
    """Return a message as JSON values."""
    return {'entry': message.entry, 'requests': message.requests_by_service}


def from_document(document: dict[str, typing.Any]) -> VolumeMessage:
    """Return a message; raise ValueError or TypeError if it is malformed."""
    return VolumeMessage(
        str(document['entry']),
        {
            str(service): checks.non_negative(requests)
            for service, requests in document['requests'].items()
        },
    )
