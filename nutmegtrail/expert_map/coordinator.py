"""Proposals and resolutions; both need an answer of every member."""

import functools

from nutmegtrail.expert_map import models


def propose(
    ballot: models.Ballot,
    members: frozenset[str],
    proposal: models.MapState,
) -> models.CoordinatorDecision:
    """Start a proposal to all members."""
    started = models.Coordination(ballot, members, proposal)
    prepare = models.Prepare(ballot, proposal)
    return models.CoordinatorDecision(started, (models.Broadcast(prepare),))


def resolve(
    above: models.Ballot,
    incarnation: str,
    members: frozenset[str],
) -> models.CoordinatorDecision:
    """Start a resolution above a ballot."""
    ballot = models.Ballot(above.counter + 1, incarnation)
    started = models.Coordination(ballot, members)
    query = models.Query(ballot)
    return models.CoordinatorDecision(started, (models.Broadcast(query),))


@functools.singledispatch
def decide(
    event: models.Promise | models.Report,
    coordination: models.Coordination,
) -> models.CoordinatorDecision:
    """Return the next state of a coordination and its actions."""
    raise TypeError(f'unknown event {event!r}')


@decide.register
def _promise(
    event: models.Promise,
    coordination: models.Coordination,
) -> models.CoordinatorDecision:
    """Commit when every member has promised; drop at the first refusal."""
    proposal = coordination.proposal
    if coordination.ended or event.ballot != coordination.ballot:
        return models.CoordinatorDecision(coordination)
    if not event.accepted or proposal is None:
        return _end(coordination, None)
    promised_by = coordination.promised_by | {event.member}
    counted = coordination._replace(promised_by=promised_by)
    if promised_by == coordination.members:
        return _end(counted, proposal)
    return models.CoordinatorDecision(counted)


@decide.register
def _report(
    event: models.Report,
    coordination: models.Coordination,
) -> models.CoordinatorDecision:
    """Decide for the newest map when every member has reported."""
    if coordination.ended or event.ballot != coordination.ballot:
        return models.CoordinatorDecision(coordination)
    if event.promised > coordination.ballot:
        ended = coordination._replace(ended=True)
        retry = models.RetryAbove(event.promised)
        return models.CoordinatorDecision(ended, (retry,))
    reports = coordination.reports_by_member.set(event.member, event.current)
    counted = coordination._replace(reports_by_member=reports)
    if frozenset(reports) != coordination.members:
        return models.CoordinatorDecision(counted)
    newest = max(reports.values(), key=_since_step)
    return _end(counted, newest)


def _end(
    coordination: models.Coordination,
    decided: models.MapState | None,
) -> models.CoordinatorDecision:
    """Send the decision to all members."""
    decision = models.Decision(coordination.ballot, decided)
    return models.CoordinatorDecision(
        coordination._replace(ended=True),
        (models.Broadcast(decision),),
    )


def _since_step(state: models.MapState) -> int:
    """Return the first step of a map."""
    return state.since_step
