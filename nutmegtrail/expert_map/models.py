"""State, messages and actions of the switch between expert maps."""

import enum
import typing

import pyrsistent
import pyrsistent.typing


class Ballot(typing.NamedTuple):
    """Number of a proposal or resolution; ordered by counter, then name.

    The coordinator is named by its incarnation: a restarted sidecar starts
    to count anew and must not meet the ballots of its former self.
    """

    counter: int = 0
    coordinator: str = ''


class MapState(typing.NamedTuple):
    """A map and the first step that runs on it."""

    map_id: str
    since_step: int


class Phase(enum.StrEnum):
    """What a member may do with its engine's steps."""

    SERVING = 'serving'
    PROMISED = 'promised'
    QUERIED = 'queried'
    RECOVERING = 'recovering'


class Member(typing.NamedTuple):
    """A group member's state in one incarnation of its sidecar.

    `current` is the newest decided map, `horizon` the last step that the
    engine may run, `completed` the last one that it has run.
    """

    name: str
    phase: Phase
    current: MapState
    horizon: int
    completed: int = 0
    promised: Ballot = Ballot()
    proposal: MapState | None = None
    staged_ids: frozenset[str] = frozenset()


class Prepare(typing.NamedTuple):
    """A coordinator proposes a map from a step on."""

    ballot: Ballot
    proposal: MapState


class Query(typing.NamedTuple):
    """A resolver asks for the newest decided map."""

    ballot: Ballot


class Decision(typing.NamedTuple):
    """The newest decided map; None where a proposal is dropped."""

    ballot: Ballot
    decided: MapState | None


class StepCompleted(typing.NamedTuple):
    """The engine has run a step."""

    step: int


class MapStaged(typing.NamedTuple):
    """The weights of a map are loaded."""

    map_id: str


class EngineStateRead(typing.NamedTuple):
    """A new sidecar has read its engine, behind a fence or a wait."""

    current: MapState
    horizon: int
    completed: int


class DecisionTimedOut(typing.NamedTuple):
    """The member waits for a decision that does not come."""


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
    """A member's answer to a proposal."""

    ballot: Ballot
    member: str
    accepted: bool


class Report(typing.NamedTuple):
    """A member's answer to a query; `promised` is higher in a refusal."""

    ballot: Ballot
    member: str
    promised: Ballot
    current: MapState


class Reply(typing.NamedTuple):
    """Send a promise or a report to the coordinator."""

    message: Promise | Report


class OrderSwitch(typing.NamedTuple):
    """Order the engine to use a map from a step on."""

    state: MapState


class OrderHorizon(typing.NamedTuple):
    """Allow the engine to run up to a step."""

    horizon: int


class Resolve(typing.NamedTuple):
    """Start a resolution above a ballot."""

    above: Ballot


MemberAction: typing.TypeAlias = Reply | OrderSwitch | OrderHorizon | Resolve


class MemberDecision(typing.NamedTuple):
    """The next state of a member and its actions."""

    member: Member
    actions: tuple[MemberAction, ...] = ()


ReportsByMember: typing.TypeAlias = pyrsistent.typing.PMap[str, MapState]


class Coordination(typing.NamedTuple):
    """A proposal (with a map) or a resolution (without) under way."""

    ballot: Ballot
    members: frozenset[str]
    proposal: MapState | None = None
    promised_by: frozenset[str] = frozenset()
    reports_by_member: ReportsByMember = pyrsistent.pmap()
    ended: bool = False


class Broadcast(typing.NamedTuple):
    """Send a message to every member."""

    message: Prepare | Query | Decision


class RetryAbove(typing.NamedTuple):
    """Start again above a ballot that a member has promised."""

    ballot: Ballot


CoordinatorAction: typing.TypeAlias = Broadcast | RetryAbove


class CoordinatorDecision(typing.NamedTuple):
    """The next state of a coordination and its actions."""

    coordination: Coordination
    actions: tuple[CoordinatorAction, ...] = ()
