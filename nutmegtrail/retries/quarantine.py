"""Requests that crash upstreams are refused after a few crashes.

Every request in flight at a crash is marked. A request that ends well
is cleared; one that is marked again while it ran alone, or reaches the
limit, is refused until its marks age out.
"""

import typing

import pyrsistent
import pyrsistent.typing
import xxhash

from nutmegtrail.retries import const

MarksByCrashId: typing.TypeAlias = pyrsistent.typing.PMap[str, float]
MarksByFingerprint: typing.TypeAlias = pyrsistent.typing.PMap[
    str, MarksByCrashId
]


class Quarantine(typing.NamedTuple):
    """Times of crashes by fingerprint and crash."""

    marks_by_fingerprint: MarksByFingerprint = pyrsistent.pmap()


def fingerprint(client_account: str, target: str, body: bytes) -> str:
    """Return the identity of a request across its repetitions."""
    scope = f'{client_account}\0{target}\0'.encode()
    return xxhash.xxh3_128_hexdigest(scope + body)


def mark(
    quarantine: Quarantine,
    name: str,
    crash_id: str,
    now_seconds: float,
) -> Quarantine:
    """Return the quarantine after a crash; one crash marks once."""
    marks = quarantine.marks_by_fingerprint.get(name, pyrsistent.pmap())
    marks = _fresh(marks, now_seconds).set(crash_id, now_seconds)
    return Quarantine(quarantine.marks_by_fingerprint.set(name, marks))


def clear(quarantine: Quarantine, name: str) -> Quarantine:
    """Return the quarantine after a request ended well."""
    return Quarantine(quarantine.marks_by_fingerprint.discard(name))


def is_marked(quarantine: Quarantine, name: str, now_seconds: float) -> bool:
    """Return whether a request should run apart from other marked ones."""
    return _count(quarantine, name, now_seconds) > 0


def is_quarantined(
    quarantine: Quarantine, name: str, now_seconds: float
) -> bool:
    """Return whether a request has reached the limit of crashes."""
    return _count(quarantine, name, now_seconds) >= const.CRASH_LIMIT


def remove_expired(quarantine: Quarantine, now_seconds: float) -> Quarantine:
    """Return the quarantine without marks that have aged out."""
    marks_by_fingerprint = quarantine.marks_by_fingerprint
    for name, marks in quarantine.marks_by_fingerprint.items():
        fresh = _fresh(marks, now_seconds)
        if fresh:
            marks_by_fingerprint = marks_by_fingerprint.set(name, fresh)
        else:
            marks_by_fingerprint = marks_by_fingerprint.remove(name)
    return Quarantine(marks_by_fingerprint)


def _count(quarantine: Quarantine, name: str, now_seconds: float) -> int:
    """Return the number of crashes that still count."""
    marks = quarantine.marks_by_fingerprint.get(name)
    return 0 if marks is None else len(_fresh(marks, now_seconds))


def _fresh(marks: MarksByCrashId, now_seconds: float) -> MarksByCrashId:
    """Return the marks that have not aged out."""
    oldest = now_seconds - const.CRASH_MARK_SECONDS
    for crash_id, time_seconds in marks.items():
        if time_seconds < oldest:
            marks = marks.remove(crash_id)
    return marks
