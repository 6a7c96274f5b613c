"""Messages between entries and sidecars, one type per union member."""

import typing


class Call(typing.NamedTuple):
    """A request for the upstream of a sidecar.

    `offset` is the number of events that the caller already has. A
    `suspect` request was in flight at a crash; a sidecar accepts only one
    suspect request at a time.
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
    """Status and content type of an upstream's response."""

    request_id: str
    attempt: int
    status: int
    content_type: str


class Chunk(typing.NamedTuple):
    """One event of a response, numbered from zero by its offset."""

    request_id: str
    attempt: int
    offset: int
    payload: bytes
    final: bool


class Refusal(typing.NamedTuple):
    """The reason for a missing response (see `retries.models.Reason`).

    `owner` names the upstream whose sidecar owns the key's shard; for a
    crash it is the identifier of the crash.
    """

    request_id: str
    attempt: int
    reason: str
    retry_after_ms: int
    owner: str = ''


class Cancel(typing.NamedTuple):
    """Notice that the caller no longer waits for a request.

    With `only_queued`, a call that may have been sent to the upstream goes on,
    and a refusal tells whether the call was not run.
    """

    request_id: str
    attempt: int
    only_queued: bool = False


class Tombstone(typing.NamedTuple):
    """Request to prevent a call from ever being claimed.

    If the call has already run, its response is sent instead.
    """

    request_id: str
    attempt: int
    client_account: str
    target: str
    idempotency_key: str


class Heartbeat(typing.NamedTuple):
    """Probe of a connection with unanswered calls."""

    nonce: int


class HeartbeatAck(typing.NamedTuple):
    """Reply to a heartbeat with the sidecar's state."""

    nonce: int
    draining: bool
    in_flight: int


class DocumentDigest(typing.NamedTuple):
    """Hash of the names and revisions of the sender's documents."""

    sender: str
    digest: bytes


class DocumentVector(typing.NamedTuple):
    """Names and revisions of all of the sender's documents.

    With `reply` set, a receiver that lacks documents sends its own vector.
    """

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
    """Request to lease admission units of a client account."""

    sender: str
    client_account: str
    requests: int
    tokens: int
    in_flight: int


class LeaseGrant(typing.NamedTuple):
    """Admission units leased by the owner of a client account."""

    client_account: str
    requests: int
    tokens: int
    valid_ms: int


class CrashMark(typing.NamedTuple):
    """Notice that a request was in flight when an upstream crashed."""

    fingerprint: str
    crash_id: str


class MapPrepare(typing.NamedTuple):
    """Proposal to switch a group to a map from a step on."""

    group: str
    counter: int
    proposer: str
    map_id: str
    step: int


class MapPromise(typing.NamedTuple):
    """A member's reply to a proposal."""

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
    """A resolver's query for a member's state."""

    group: str
    counter: int
    proposer: str


class MapReport(typing.NamedTuple):
    """A member's state in reply to a resolver's query."""

    group: str
    counter: int
    proposer: str
    member: str
    promised_counter: int
    promised_to: str
    map_id: str
    step: int


class MapStage(typing.NamedTuple):
    """A map to load; `slots` lists the expert of each slot, rank by rank."""

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
