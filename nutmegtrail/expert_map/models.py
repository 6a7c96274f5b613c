"""State, messages and actions of the switch protocol between sidecars."""

import enum
import typing

import pyrsistent
import pyrsistent.typing


class Ballot(typing.NamedTuple):
    """Number of a proposal or resolution; ordered by counter, then coordinator.

    The coordinator is identified by its incarnation, because a restarted
    sidecar restarts its counter and must not reuse its earlier ballots.
    """

    counter: int = 0
    coordinator: str = ''


class MapState(typing.NamedTuple):
    """Expert map and the first step that uses it."""

    map_id: str
    since_step: int


class Phase(enum.StrEnum):
    """Protocol phase of a member; the engine gets new steps only in SERVING."""

    SERVING = 'serving'
    PROMISED = 'promised'
    QUERIED = 'queried'
    RECOVERING = 'recovering'


class Member(typing.NamedTuple):
    """Protocol state of a group member in one incarnation of its sidecar.

    `current` is the newest decided map, `horizon` the last step that the
    engine may run, `completed` the last step that it has run, `promised` the
    highest ballot that the member has promised.
    """

    name: str
    phase: Phase
    current: MapState
    horizon: int
    completed: int = 0
    promised: Ballot = Ballot()
    proposal: MapState | None = None
    staged_map_ids: frozenset[str] = frozenset()


class Prepare(typing.NamedTuple):
    """Request to promise a map from a step on."""

    ballot: Ballot
    proposal: MapState


class Query(typing.NamedTuple):
    """Request for the newest decided map, sent in a resolution."""

    ballot: Ballot


class Decision(typing.NamedTuple):
    """Newest decided map; None if a proposal was aborted."""

    ballot: Ballot
    decided: MapState | None


class StepCompleted(typing.NamedTuple):
    """The engine has completed a step."""

    step: int


class MapStaged(typing.NamedTuple):
    """The engine has loaded the weights of a map."""

    map_id: str


class EngineStateRead(typing.NamedTuple):
    """A new sidecar has read the state of its engine.

    Orders from earlier sidecars can no longer change this state, either
    because the engine is fenced or because the sidecar has waited for them.
    """

    current: MapState
    horizon: int
    completed: int


class DecisionTimedOut(typing.NamedTuple):
    """The member has waited too long for a decision."""


MemberEvent: typing.TypeAlias = (
    Prepare
    | Query
    | Decision
    | StepCompleted
    | MapStaged
    | EngineStateRead
    | DecisionTimedOut
)


class Promise(typing.NamedTuple):
    """Answer of a member to a proposal."""

    ballot: Ballot
    member: str
    accepted: bool


class Report(typing.NamedTuple):
    """Answer of a member to a query.

    If `promised` is higher than `ballot`, the query was refused.
    """

    ballot: Ballot
    member: str
    promised: Ballot
    current: MapState


class Reply(typing.NamedTuple):
    """Action: send a promise or a report to the coordinator."""

    message: Promise | Report


class OrderSwitch(typing.NamedTuple):
    """Action: order the engine to use a map from a step on."""

    state: MapState


class OrderHorizon(typing.NamedTuple):
    """Action: allow the engine to run up to a step."""

    horizon: int


class Resolve(typing.NamedTuple):
    """Action: start a resolution with a higher ballot than the given one."""

    above: Ballot


MemberAction: typing.TypeAlias = Reply | OrderSwitch | OrderHorizon | Resolve


class MemberDecision(typing.NamedTuple):
    """Next state of a member and the actions to perform."""

    member: Member
    actions: tuple[MemberAction, ...] = ()


ReportsByMember: typing.TypeAlias = pyrsistent.typing.PMap[str, MapState]


class Coordination(typing.NamedTuple):
    """Running proposal (with a map) or resolution (without one)."""

    ballot: Ballot
    members: frozenset[str]
    proposal: MapState | None = None
    promised_by: frozenset[str] = frozenset()
    reports_by_member: ReportsByMember = pyrsistent.pmap()
    ended: bool = False


class Broadcast(typing.NamedTuple):
    """Action: send a message to every member."""

    message: Prepare | Query | Decision


class RetryAbove(typing.NamedTuple):
    """Action: start again with a higher ballot than a member has promised."""

    ballot: Ballot


CoordinatorAction: typing.TypeAlias = Broadcast | RetryAbove


class CoordinatorDecision(typing.NamedTuple):
    """Next state of a coordination and the actions to perform."""

    coordination: Coordination
    actions: tuple[CoordinatorAction, ...] = ()
