"""Request limits that upstreams name, kept by all entries together.

An upstream in need names in its responses how many requests per second it
takes from all entries. The entries tell each other what upstreams named and
how many requests each of them sent, so that each keeps the same token bucket.
If several wait for a token, they take turns.

An entry that does not hear all others keeps to its own part of the limit, an
equal one for each entry. The others see what it sends, or are in the same
position. So the limit holds whatever is lost between them.
"""

import math
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.gateway import const
from nutmegtrail.gateway import models

UNLIMITED: typing.Final = math.inf


class Statement(typing.NamedTuple):
    """Limit that an upstream named in a response, `UNLIMITED` if none.

    The upstream made the response between the times at which it was asked for
    and received. `is_by_control_api` is set if the control API of the upstream
    has named a limit, too.
    """

    requests_per_second: float
    asked_at_seconds: float
    received_at_seconds: float
    is_by_control_api: bool = False


class Sharing(typing.NamedTuple):
    """Entries that share the limits, as seen by one of them.

    `members` has the addresses of all entries in an order that is the same
    for all. `is_complete` is set while the entry hears all others, and
    `is_isolated` once it hears none and the others may have dropped it.
    """

    own: str = ''
    members: tuple[str, ...] = ('',)
    is_complete: bool = True
    is_isolated: bool = False

    @property
    def turn_seconds(self) -> float:
        """Return for how long an entry leaves a token to the one before it."""
        return min(
            const.LIMIT_TURN_SECONDS,
            const.LIMIT_ROUND_SECONDS / len(self.members),
        )

    @property
    def own_needed(self) -> float:
        """Return the own tokens from which on this entry sends a request.

        They differ, so that entries that have lost touch at the same time do
        not send at the same time.
        """
        return 1 + self.members.index(self.own) / len(self.members)

    def turns_before(self, last_sender: str) -> int:
        """Return how many entries take a token before this one.

        The turns follow the order of the members, after the last sender.
        """
        position = self.members.index(self.own)
        if last_sender in self.members:
            position -= self.members.index(last_sender) + 1
        return position % len(self.members)


class PeerCount(typing.NamedTuple):
    """Requests that another entry has sent and when it last sent one."""

    sent: int
    sent_at_seconds: float


PeerCounts: typing.TypeAlias = pyrsistent.typing.PMap[str, PeerCount]


class RequestLimit(typing.NamedTuple):
    """Limit of one incarnation of an upstream and its use.

    `tokens` is the number of requests that all entries may send at
    `updated_at_seconds`, and `own_tokens` the number that this entry may send
    if it has lost touch with others. `sent` counts its requests since it has
    known of the limit. After the upstream stops naming a limit, the rate grows
    from `last_requests_per_second`.
    """

    statement: Statement
    updated_at_seconds: float
    tokens: float = 0
    own_tokens: float = 0
    sent: int = 0
    sent_by_peer: PeerCounts = pyrsistent.pmap()
    last_sender: str = ''
    last_sent_at_seconds: float = float('-inf')
    last_requests_per_second: float = UNLIMITED

    def rate(self, now_seconds: float) -> float:
        """Return the requests per second that the upstream takes.

        Doubling it step by step keeps all waiting requests from being sent to
        the upstream as soon as its limit has ended.
        """
        named = self.statement.requests_per_second
        if named < UNLIMITED:
            return named
        elapsed_seconds = now_seconds - self.statement.received_at_seconds
        if elapsed_seconds >= const.LIMIT_EASING_SECONDS:
            return UNLIMITED
        doublings = max(elapsed_seconds, 0) / const.LIMIT_DOUBLING_SECONDS
        start = max(
            self.last_requests_per_second,
            const.MIN_EASED_REQUESTS_PER_SECOND,
        )
        growth: float = 2**doublings
        return start * growth


LimitsByIncarnation: typing.TypeAlias = pyrsistent.typing.PMap[
    models.Incarnation, RequestLimit
]


def record_statement(
    limits: LimitsByIncarnation,
    incarnation: models.Incarnation,
    statement: Statement,
    sharing: Sharing,
    now_seconds: float,
) -> LimitsByIncarnation:
    """Return the limits after a statement of an upstream.

    Returns the same object if nothing changes.
    """
    limit = limits.get(incarnation)
    if limit is None:
        if statement.requests_per_second == UNLIMITED:
            return limits
        return limits.set(incarnation, RequestLimit(statement, now_seconds))
    merged = _merge(limit.statement, statement)
    if merged == limit.statement:
        return limits
    advanced = _advance(limit, sharing, now_seconds)
    return limits.set(
        incarnation,
        advanced._replace(
            statement=merged,
            last_requests_per_second=limit.rate(now_seconds),
        ),
    )


def record_peer_count(
    limit: RequestLimit,
    peer: str,
    sender: str,
    sent: int,
    sharing: Sharing,
    now_seconds: float,
) -> RequestLimit:
    """Return the limit after another entry told its count of requests.

    `peer` is the name of the process, `sender` its address. The requests that
    a process sent before it was first heard of are not known to be recent.
    """
    known = limit.sent_by_peer.get(peer)
    added = min(sent, 1) if known is None else sent - known.sent
    if known is not None and not added:
        return limit
    advanced = _advance(limit, sharing, now_seconds)
    sent_at_seconds = now_seconds if added > 0 else float('-inf')
    if added > 0:
        advanced = advanced._replace(
            last_sender=sender, last_sent_at_seconds=now_seconds
        )
    own_tokens = added / len(sharing.members) if sharing.is_complete else 0
    return _use(advanced, added, own_tokens)._replace(
        sent_by_peer=limit.sent_by_peer.set(
            peer, PeerCount(sent, sent_at_seconds)
        ),
    )


def available_from(
    limit: RequestLimit | None, sharing: Sharing, now_seconds: float
) -> float:
    """Return from when on this entry may send a request to an upstream."""
    if limit is None:
        return float('-inf')
    rate = limit.rate(now_seconds)
    if rate == UNLIMITED:
        return float('-inf')
    if sharing.is_isolated:
        return math.inf
    if rate < const.MIN_LIMIT_REQUESTS_PER_SECOND:
        return _trial_at(limit, sharing)
    if sharing.is_complete:
        turns = sharing.turns_before(limit.last_sender)
        missing = 1 + rate * sharing.turn_seconds * turns - limit.tokens
    else:
        missing = sharing.own_needed - limit.own_tokens
        rate /= len(sharing.members)
    return limit.updated_at_seconds + missing / rate


def take(
    limit: RequestLimit, sharing: Sharing, now_seconds: float
) -> RequestLimit:
    """Return the limit after this entry took a token for a request."""
    advanced = _advance(limit, sharing, now_seconds)
    own_tokens = 1 / len(sharing.members) if sharing.is_complete else 1
    return _use(advanced, 1, own_tokens)._replace(
        sent=limit.sent + 1,
        last_sender=sharing.own,
        last_sent_at_seconds=now_seconds,
    )


def give_back(
    limit: RequestLimit, sharing: Sharing, now_seconds: float
) -> RequestLimit:
    """Return the limit after a request with a token was not sent."""
    advanced = _advance(limit, sharing, now_seconds)
    return advanced._replace(tokens=advanced.tokens + 1, sent=limit.sent - 1)


def expected_rate(
    limit: RequestLimit | None, sharing: Sharing, now_seconds: float
) -> float:
    """Return the requests per second that this entry can expect to send.

    Entries that have sent requests lately share the limit.
    """
    if limit is None:
        return UNLIMITED
    rate = limit.rate(now_seconds)
    if not sharing.is_complete:
        return rate / len(sharing.members)
    active_from = now_seconds - const.LIMIT_ACTIVITY_SECONDS
    active_peers = sum(
        count.sent_at_seconds >= active_from
        for count in limit.sent_by_peer.values()
    )
    return rate / (1 + active_peers)


def is_forgettable(
    limit: RequestLimit, *, is_registered: bool, now_seconds: float
) -> bool:
    """Return whether a limit has ended, or its upstream long ago."""
    if limit.rate(now_seconds) == UNLIMITED:
        return True
    received_at = limit.statement.received_at_seconds
    is_old = now_seconds - received_at >= const.REMOVAL_MEMORY_SECONDS
    return is_old and not is_registered


def _merge(known: Statement, new: Statement) -> Statement:
    """Return the later statement, the stricter one if that is unknown.

    Responses may overtake each other. A response is later than another one
    for certain only if it was asked for after the other one was received.
    """
    if new.received_at_seconds <= known.asked_at_seconds:
        return known
    if new.requests_per_second == known.requests_per_second == UNLIMITED:
        # The time of the end stays while the rate grows.
        return known
    if new.asked_at_seconds >= known.received_at_seconds:
        return new._replace(is_by_control_api=_names_by_control_api(known, new))
    if new.requests_per_second > known.requests_per_second:
        return known
    if new.requests_per_second < known.requests_per_second:
        return new._replace(is_by_control_api=_names_by_control_api(known, new))
    return known._replace(
        asked_at_seconds=max(known.asked_at_seconds, new.asked_at_seconds),
        received_at_seconds=max(
            known.received_at_seconds, new.received_at_seconds
        ),
        is_by_control_api=_names_by_control_api(known, new),
    )


def _names_by_control_api(known: Statement, new: Statement) -> bool:
    """Return whether the control API has named the current limit."""
    if new.requests_per_second == UNLIMITED:
        return False
    return known.is_by_control_api or new.is_by_control_api


def _advance(
    limit: RequestLimit, sharing: Sharing, now_seconds: float
) -> RequestLimit:
    """Return the limit with the tokens that have accrued since its update."""
    rate = limit.rate(now_seconds)
    if rate == UNLIMITED:
        return limit._replace(updated_at_seconds=now_seconds)
    accrued = rate * max(now_seconds - limit.updated_at_seconds, 0)
    entries = len(sharing.members)
    most = 1 + rate * max(
        sharing.turn_seconds * entries, const.LIMIT_BURST_SECONDS
    )
    most_own = most / entries if sharing.is_complete else sharing.own_needed
    return limit._replace(
        tokens=min(limit.tokens + accrued, most),
        own_tokens=min(limit.own_tokens + accrued / entries, most_own),
        updated_at_seconds=now_seconds,
    )


def _use(
    limit: RequestLimit, requests: float, own_tokens: float
) -> RequestLimit:
    """Return the limit after requests that cost tokens of both kinds.

    Only so much is made up for after the limit was exceeded.
    """
    rate = limit.rate(limit.updated_at_seconds)
    lowest = -1 - const.LIMIT_DEBT_SECONDS * rate
    return limit._replace(
        tokens=max(limit.tokens - requests, lowest),
        own_tokens=max(limit.own_tokens - own_tokens, 0),
    )


def _trial_at(limit: RequestLimit, sharing: Sharing) -> float:
    """Return when to try an upstream that takes no requests.

    Its answers are the only sign of an end of the limit, unless its control
    API names the limit as well. The entries do not try at the same time.
    """
    if limit.statement.is_by_control_api:
        return math.inf
    last_seconds = max(
        limit.statement.received_at_seconds, limit.last_sent_at_seconds
    )
    turns = sharing.members.index(sharing.own)
    return last_seconds + const.LIMIT_TRIAL_SECONDS * (
        1 + turns / len(sharing.members)
    )
