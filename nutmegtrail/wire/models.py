"""Messages between entries and sidecars, one type per union member."""

import typing


class Call(typing.NamedTuple):
    """A request for the upstream of a sidecar.

    `offset` counts the events that the caller has; a `suspect` request was
    in flight at a crash and runs apart from others like it.
    """

    request_id: str
    attempt: int
    client_account: str
    target: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    idempotent: bool
    priority: int
    deadline_ms: int
    offset: int = 0
    share_weight: float = 1.0
    suspect: bool = False


class Head(typing.NamedTuple):
    """Status and content type of an upstream's answer."""

    request_id: str
    attempt: int
    status: int
    content_type: str


class Chunk(typing.NamedTuple):
    """One event of an answer, numbered from zero by its offset."""

    request_id: str
    attempt: int
    offset: int
    payload: bytes
    final: bool


class Refusal(typing.NamedTuple):
    """A reason (see `retries.models.Reason`) for giving no answer."""

    request_id: str
    attempt: int
    reason: str
    retry_after_ms: int
    owner: str = ''


class Cancel(typing.NamedTuple):
    """Notice that the caller no longer waits for a request."""

    request_id: str
    attempt: int


class Tombstone(typing.NamedTuple):
    """Demand that a request identifier can never be claimed again."""

    request_id: str
    attempt: int
    client_account: str
    target: str
    idempotency_key: str


class Heartbeat(typing.NamedTuple):
    """Probe of a connection that has unanswered calls."""

    nonce: int


class HeartbeatAck(typing.NamedTuple):
    """Answer to a probe with the upstream's state."""

    nonce: int
    draining: bool
    in_flight: int


class DocumentDigest(typing.NamedTuple):
    """Hash over the names and revisions of the sender's documents."""

    sender: str
    digest: bytes


class DocumentVector(typing.NamedTuple):
    """Names and revisions of all documents of the sender."""

    sender: str
    names: tuple[str, ...]
    revisions: tuple[int, ...]
    reply: bool


class DocumentPush(typing.NamedTuple):
    """A configuration document at a revision."""

    name: str
    revision: int
    content: bytes


class LeaseRequest(typing.NamedTuple):
    """Demand for admission units of a client account."""

    sender: str
    client_account: str
    requests: int
    tokens: int
    in_flight: int


class LeaseGrant(typing.NamedTuple):
    """Admission units granted by the owner of a client account."""

    client_account: str
    requests: int
    tokens: int
    valid_ms: int


class CrashMark(typing.NamedTuple):
    """Notice that a request was in flight at an upstream's crash."""

    fingerprint: str
    crash_id: str


class MapPrepare(typing.NamedTuple):
    """Proposal to switch a group to a map at a step."""

    group: str
    counter: int
    proposer: str
    map_id: str
    step: int


class MapPromise(typing.NamedTuple):
    """A member's answer to a proposal."""

    group: str
    counter: int
    proposer: str
    member: str
    accepted: bool


class MapDecision(typing.NamedTuple):
    """Commit or abort of a ballot."""

    group: str
    counter: int
    proposer: str
    map_id: str
    step: int
    committed: bool


class MapQuery(typing.NamedTuple):
    """A resolver's question for a member's state."""

    group: str
    counter: int
    proposer: str


class MapReport(typing.NamedTuple):
    """A member's state in answer to a resolver."""

    group: str
    counter: int
    proposer: str
    member: str
    promised_counter: int
    promised_to: str
    map_id: str
    step: int


class MapStage(typing.NamedTuple):
    """A map to load: the experts of all ranks' slots, rank by rank."""

    group: str
    map_id: str
    slots: tuple[int, ...]


Message: typing.TypeAlias = (
    Call
    | Head
    | Chunk
    | Refusal
    | Cancel
    | Tombstone
    | Heartbeat
    | HeartbeatAck
    | DocumentDigest
    | DocumentVector
    | DocumentPush
    | LeaseRequest
    | LeaseGrant
    | CrashMark
    | MapPrepare
    | MapPromise
    | MapDecision
    | MapQuery
    | MapReport
    | MapStage
)
