"""Keys of the slots in the store, and the choice among them."""

import typing

from nutmegtrail.retry_budget import const

_PREFIX: typing.Final = 'nutmegtrail-retries/'


def service_prefix(service: str) -> str:
    """Return the prefix of the keys of a service's slots."""
    return f'{_PREFIX}{service}/'


def slot_key(service: str, slot: int) -> str:
    """Return the key of a slot."""
    return f'{service_prefix(service)}{slot}'


def taken_slots(service: str, keys: typing.Iterable[str]) -> frozenset[int]:
    """Return the slots that keys stand for."""
    names = (key.removeprefix(service_prefix(service)) for key in keys)
    return frozenset(
        int(name)
        for name in names
        if name.isdecimal() and len(name) <= const.MAX_COUNT_DIGITS
    )


def choose(
    taken: typing.AbstractSet[int],
    slot_count: int,
    wanted: int,
    position: float,
) -> tuple[int, ...]:
    """Return free slots to claim, none if all are taken.

    Entries begin at different positions, from 0 to 1, so that few choose the
    same slots. Slots that are taken beyond the present number count, too.
    """
    left = slot_count - len(taken)
    chosen_count = max(min(left, wanted, const.SLOTS_PER_CLAIM), 0)
    first = int(position * slot_count)
    ordered = (*range(first, slot_count), *range(first))
    free = tuple(slot for slot in ordered if slot not in taken)
    return free[:chosen_count]


class ToldRequests(typing.NamedTuple):
    """Requests of a window, and the time of day at its end."""

    requests: int
    at_seconds: int


def encode_requests(told: ToldRequests) -> bytes:
    """Return the content of a slot."""
    return b'%d %d' % told


def decode_requests(content: bytes) -> ToldRequests | None:
    """Return what the content of a slot tells, None if unreadable."""
    fields = content.split(b' ')
    is_readable = len(fields) == len(ToldRequests._fields) and all(
        field.isdigit() and len(field) <= const.MAX_COUNT_DIGITS
        for field in fields
    )
    return ToldRequests(*map(int, fields)) if is_readable else None
