"""State, events and actions of one shard of the idempotency keys."""

import enum
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.retries import models as retry_models


class Status(enum.StrEnum):
    """Progress of a claimed call."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    ABANDONED = 'abandoned'


class StoredResponse(typing.NamedTuple):
    """A response stored with its claim.

    `is_body_stored` is False if the body exceeded the size limit.
    """

    status: int
    content_type: str
    body: bytes
    is_body_stored: bool = True


class Record(typing.NamedTuple):
    """The claim of one idempotency key; times are Unix seconds.

    Records are stored by position, so the order of the fields must not
    change.
    """

    record_id: str
    request_id: str
    body_digest: str
    incarnation: str
    status: Status
    claimed_at_seconds: float
    response: StoredResponse | None = None


RecordsById: typing.TypeAlias = pyrsistent.typing.PMap[str, Record]
TimesByRequestId: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


class Owner(typing.NamedTuple):
    """A sidecar and its incarnation; empty if a shard has no owner."""

    upstream: str = ''
    incarnation: str = ''


class Log(typing.NamedTuple):
    """A shard's claim log, as stored in the key-value service."""

    owner: Owner = Owner()
    batch_id: str = ''
    records_by_id: RecordsById = pyrsistent.pmap()
    tombstones_by_request_id: TimesByRequestId = pyrsistent.pmap()


class KeyedCall(typing.NamedTuple):
    """One attempt of a call with an idempotency key."""

    record_id: str
    request_id: str
    attempt: int
    body_digest: str
    deadline_seconds: float


class TombstoneCall(typing.NamedTuple):
    """A request to store that a request identifier must never be claimed."""

    record_id: str
    request_id: str
    attempt: int


class Waiter(typing.NamedTuple):
    """An attempt that waits for the outcome of a claim."""

    request_id: str
    attempt: int


class Role(enum.StrEnum):
    """Role of the local sidecar for a shard."""

    UNOWNED = 'unowned'
    READING = 'reading'
    ACQUIRING = 'acquiring'
    OWNER = 'owner'


class Batch(typing.NamedTuple):
    """An append in progress: the new log and the changes it contains."""

    log: Log
    claims: tuple[KeyedCall, ...] = ()
    tombstones: tuple[TombstoneCall, ...] = ()
    updates: tuple[Record, ...] = ()


WaitersByRecordId: typing.TypeAlias = pyrsistent.typing.PMap[
    str, tuple[Waiter, ...]
]


class Shard(typing.NamedTuple):
    """State of one shard on the local sidecar.

    `calls` wait until the owner of the shard is known. `claims`,
    `tombstones` and `updates` wait for the next append. `in_flight` is the
    append in progress. `is_log_verified` is False from a lapse of the
    sidecar's lease until the stored log has been read again.
    """

    local_owner: Owner
    role: Role = Role.UNOWNED
    revision: int = 0
    log: Log = Log()
    calls: tuple[KeyedCall, ...] = ()
    claims: tuple[KeyedCall, ...] = ()
    tombstones: tuple[TombstoneCall, ...] = ()
    updates: tuple[Record, ...] = ()
    in_flight: Batch | None = None
    waiters_by_id: WaitersByRecordId = pyrsistent.pmap()
    running_by_id: RecordsById = pyrsistent.pmap()
    is_log_verified: bool = False
    batch_count: int = 0
    is_append_scheduled: bool = False
    releasing: bool = False


class Context(typing.NamedTuple):
    """Current Unix time and state of the sidecar's lease."""

    now_seconds: float
    is_lease_valid: bool


class CallArrived(typing.NamedTuple):
    """An entry has sent a call."""

    call: KeyedCall


class TombstoneRequested(typing.NamedTuple):
    """An entry gave up a request and asks for proof that it never runs."""

    tombstone: TombstoneCall


class ShardRead(typing.NamedTuple):
    """The stored log was read.

    `is_owner_live` tells whether the lease of the log's owner is valid.
    """

    revision: int
    log: Log
    is_owner_live: bool


class ReadFailed(typing.NamedTuple):
    """The stored log could not be read."""


class AppendDue(typing.NamedTuple):
    """The write budget allows an append."""


class AppendConfirmed(typing.NamedTuple):
    """The append was stored at a revision."""

    revision: int


class AppendConflict(typing.NamedTuple):
    """Another sidecar changed the log first."""


class AppendUnavailable(typing.NamedTuple):
    """The append did not reach the key-value service."""


class AppendUnknown(typing.NamedTuple):
    """The response to the append was lost, so its outcome is unknown."""


class UpstreamResponded(typing.NamedTuple):
    """The upstream executed a claimed call and sent a complete response."""

    record_id: str
    response: StoredResponse


class UpstreamNotSent(typing.NamedTuple):
    """No byte of a claimed call reached the upstream."""

    record_id: str


class UpstreamInterrupted(typing.NamedTuple):
    """A claimed call reached the upstream without a complete response."""

    record_id: str


class LeaseLapsed(typing.NamedTuple):
    """The sidecar's lease may have expired and the shard changed owner."""


class ReleaseRequested(typing.NamedTuple):
    """The sidecar is shutting down and releases its shards."""


Event: typing.TypeAlias = (
    CallArrived
    | TombstoneRequested
    | ShardRead
    | ReadFailed
    | AppendDue
    | AppendConfirmed
    | AppendConflict
    | AppendUnavailable
    | AppendUnknown
    | UpstreamResponded
    | UpstreamNotSent
    | UpstreamInterrupted
    | LeaseLapsed
    | ReleaseRequested
)


class ReadShard(typing.NamedTuple):
    """Read the stored log and check the lease of its owner."""


class ScheduleAppend(typing.NamedTuple):
    """Report `AppendDue` after the delay, once the write budget allows it."""

    delay_seconds: float = 0


class Append(typing.NamedTuple):
    """Store the log if its revision is still the expected one."""

    expected_revision: int
    content: bytes


class Run(typing.NamedTuple):
    """Send a claimed call to the upstream."""

    record_id: str
    request_id: str


class Respond(typing.NamedTuple):
    """Send the upstream's response to an attempt."""

    waiter: Waiter
    response: StoredResponse


class Refuse(typing.NamedTuple):
    """Refuse an attempt; `owner` names the sidecar to retry at, if any."""

    waiter: Waiter
    reason: retry_models.Reason
    owner: str = ''


Action: typing.TypeAlias = (
    ReadShard | ScheduleAppend | Append | Run | Respond | Refuse
)


class Decision(typing.NamedTuple):
    """The next state of a shard and the actions to perform."""

    shard: Shard
    actions: tuple[Action, ...] = ()
