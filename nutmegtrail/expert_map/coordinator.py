"""Coordinator side of the switch protocol.

A proposal switches the group to a new map. A resolution finds out the newest
decided map after a failure. Both need an answer from every member.
"""

import functools

from nutmegtrail.expert_map import models


def propose(
    ballot: models.Ballot,
    members: frozenset[str],
    proposal: models.MapState,
) -> models.CoordinatorDecision:
    """Start a proposal of a map to all members."""
    coordination = models.Coordination(ballot, members, proposal)
    prepare = models.Prepare(ballot, proposal)
    return models.CoordinatorDecision(
        coordination, (models.Broadcast(prepare),)
    )


def resolve(
    above: models.Ballot,
    incarnation: str,
    members: frozenset[str],
) -> models.CoordinatorDecision:
    """Start a resolution with a higher ballot than the given one."""
    ballot = models.Ballot(above.counter + 1, incarnation)
    coordination = models.Coordination(ballot, members)
    query = models.Query(ballot)
    return models.CoordinatorDecision(coordination, (models.Broadcast(query),))


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
    """Commit once every member has promised; abort at the first refusal."""
    proposal = coordination.proposal
    if coordination.ended or event.ballot != coordination.ballot:
        return models.CoordinatorDecision(coordination)
    if not event.accepted or proposal is None:
        return _end(coordination, None)
    promised_by = coordination.promised_by | {event.member}
    updated = coordination._replace(promised_by=promised_by)
    if promised_by == coordination.members:
        return _end(updated, proposal)
    return models.CoordinatorDecision(updated)


@decide.register
def _report(
    event: models.Report,
    coordination: models.Coordination,
) -> models.CoordinatorDecision:
    """Decide for the newest map once every member has reported."""
    if coordination.ended or event.ballot != coordination.ballot:
        return models.CoordinatorDecision(coordination)
    if event.promised > coordination.ballot:
        ended = coordination._replace(ended=True)
        retry = models.RetryAbove(event.promised)
        return models.CoordinatorDecision(ended, (retry,))
    reports = coordination.reports_by_member.set(event.member, event.current)
    updated = coordination._replace(reports_by_member=reports)
    if frozenset(reports) != coordination.members:
        return models.CoordinatorDecision(updated)
    newest = max(reports.values(), key=_since_step)
    return _end(updated, newest)


def _end(
    coordination: models.Coordination,
    decided: models.MapState | None,
) -> models.CoordinatorDecision:
    """End the coordination and broadcast the decision; None aborts."""
    decision = models.Decision(coordination.ballot, decided)
    return models.CoordinatorDecision(
        coordination._replace(ended=True),
        (models.Broadcast(decision),),
    )


def _since_step(state: models.MapState) -> int:
    """Return the first step of a map, as a sort key."""
    return state.since_step
