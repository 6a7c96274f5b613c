"""Messages in which entries tell each other which domains are out of service.

A message is whole: it has all domains that are out of service at its revision.
"""

import typing

from nutmegtrail.evacuation import domains


class EvacuationMessage(typing.NamedTuple):
    """What an entry knows of failure domains out of service."""

    entry: str
    told: domains.ToldByPeer


def create(
    entry: str, evacuations: domains.Evacuations
) -> EvacuationMessage | None:
    """Return the message of a state, None if nothing is known."""
    if not evacuations.is_known:
        return None
    return EvacuationMessage(
        entry,
        domains.ToldByPeer(
            evacuations.revision,
            evacuations.era,
            dict(evacuations.revision_by_domain),
        ),
    )


def to_document(message: EvacuationMessage) -> dict[str, object]:
    """Return a message as JSON values."""
    return {
        'entry': message.entry,
        'revision': message.told.revision,
        'era': message.told.era,
        'out_of_service': message.told.revision_by_domain,
    }


def from_document(document: dict[str, typing.Any]) -> EvacuationMessage:
    """Return a message; raise ValueError or TypeError if it is malformed."""
    return EvacuationMessage(
        str(document['entry']),
        domains.ToldByPeer(
            _non_negative(document['revision']),
            _non_negative(document['era']),
            {
                str(domain): _non_negative(revision)
                for domain, revision in document['out_of_service'].items()
            },
        ),
    )


def _non_negative(number: object) -> int:
    """Return an integer; raise an error for any other value."""
    if not isinstance(number, int) or isinstance(number, bool):
        raise TypeError(f'{number!r} must be an integer')
    if number < 0:
        raise ValueError(f'{number} must be at least 0')
    return number
