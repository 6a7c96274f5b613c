"""State, events and actions of a shard of a service's idempotency keys."""

import enum
import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail.retries import models as retry_models


class Status(enum.StrEnum):
    """What is known of a claimed call."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    ABANDONED = 'abandoned'


class StoredResponse(typing.NamedTuple):
    """An answer kept with its claim; `kept` is False for a long one."""

    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Record(typing.NamedTuple):
    """The claim of one idempotency key; times are Unix seconds."""

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
    """A sidecar in one of its incarnations; empty where there is none."""

    upstream: str = ''
    incarnation: str = ''


class Log(typing.NamedTuple):
    """A shard's claim log, as stored in the key-value service."""

    owner: Owner = Owner()
    batch_id: str = ''
    records_by_id: RecordsById = pyrsistent.pmap()
    tombstones_by_request_id: TimesByRequestId = pyrsistent.pmap()


class KeyedCall(typing.NamedTuple):
    """An attempt of a call with an idempotency key."""

    record_id: str
    request_id: str
    attempt: int
    body_digest: str
    deadline_seconds: float


class TombstoneCall(typing.NamedTuple):
    """A demand that a request identifier is never claimed."""

    record_id: str
    request_id: str
    attempt: int


class Waiter(typing.NamedTuple):
    """An attempt that waits for the outcome of a claim."""

    request_id: str
    attempt: int


class Role(enum.StrEnum):
    """A sidecar's relation to a shard."""

    UNOWNED = 'unowned'
    READING = 'reading'
    ACQUIRING = 'acquiring'
    OWNER = 'owner'


class Batch(typing.NamedTuple):
    """An append under way: the log to be stored and what it adds."""

    log: Log
    claims: tuple[KeyedCall, ...] = ()
    tombstones: tuple[TombstoneCall, ...] = ()
    updates: tuple[Record, ...] = ()


WaitersByRecordId: typing.TypeAlias = pyrsistent.typing.PMap[
    str, tuple[Waiter, ...]
]


class Shard(typing.NamedTuple):
    """A sidecar's state of one shard.

    `certain` is False from a lapse of the sidecar's lease until the stored
    log has been seen again.
    """

    me: Owner
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
    certain: bool = False
    batches: int = 0
    scheduled: bool = False
    releasing: bool = False


class Context(typing.NamedTuple):
    """What a decision may know of time and of the sidecar's lease."""

    now_seconds: float
    lease_valid: bool


class CallArrived(typing.NamedTuple):
    """An entry sent a call."""

    call: KeyedCall


class TombstoneRequested(typing.NamedTuple):
    """An entry gives a request up and asks for proof."""

    tombstone: TombstoneCall


class ShardRead(typing.NamedTuple):
    """The stored log was read; `owner_live` tells of its owner's lease."""

    revision: int
    log: Log
    is_owner_live: bool


class ReadFailed(typing.NamedTuple):
    """The stored log could not be read."""


class AppendDue(typing.NamedTuple):
    """The write budget allows an append."""


class AppendConfirmed(typing.NamedTuple):
    """The append took effect at a revision."""

    revision: int


class AppendConflict(typing.NamedTuple):
    """Another sidecar changed the log first."""


class AppendUnavailable(typing.NamedTuple):
    """The append did not reach the service."""


class AppendUnknown(typing.NamedTuple):
    """The append's answer was lost."""


class UpstreamResponded(typing.NamedTuple):
    """The upstream ran a claimed call."""

    record_id: str
    response: StoredResponse


class UpstreamNotSent(typing.NamedTuple):
    """No byte of a claimed call reached the upstream."""

    record_id: str


class UpstreamInterrupted(typing.NamedTuple):
    """A claimed call reached the upstream and got no whole answer."""

    record_id: str


class LeaseLapsed(typing.NamedTuple):
    """The sidecar's lease may have lapsed; others may have taken over."""


class ReleaseRequested(typing.NamedTuple):
    """The sidecar is stopping and hands its shards over."""


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
    """Read the stored log and the lease of its owner."""


class ScheduleAppend(typing.NamedTuple):
    """Report `AppendDue` as soon as the write budget allows."""

    delay_seconds: float = 0


class Append(typing.NamedTuple):
    """Store the log if it is still at the revision."""

    expected_revision: int
    content: bytes


class Run(typing.NamedTuple):
    """Send a claimed call to the upstream."""

    record_id: str
    request_id: str


class Respond(typing.NamedTuple):
    """Give an attempt the upstream's answer."""

    waiter: Waiter
    response: StoredResponse


class Refuse(typing.NamedTuple):
    """Refuse an attempt; `owner` names the sidecar to ask instead."""

    waiter: Waiter
    reason: retry_models.Reason
    owner: str = ''


Action: typing.TypeAlias = (
    ReadShard | ScheduleAppend | Append | Run | Respond | Refuse
)


class Decision(typing.NamedTuple):
    """The next state and what has to be done."""

    shard: Shard
    actions: tuple[Action, ...] = ()
