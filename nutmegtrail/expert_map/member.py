"""A group member's side of the switch protocol.

A member never lets its engine run a step whose map is in doubt: it caps
the engine's steps before it promises, and lifts the cap only on the
decision of the ballot that it promised last, in the same incarnation.
"""

import functools

from nutmegtrail.expert_map import const
from nutmegtrail.expert_map import models


@functools.singledispatch
def decide(
    event: models.MemberEvent,
    member: models.Member,
) -> models.MemberDecision:
    """Return the next state of a member and its actions."""
    raise TypeError(f'unknown event {event!r}')


def map_for_step(current: models.MapState, step: int, before: str) -> str:
    """Return the map for a step, given the map before the current one."""
    return current.map_id if step >= current.since_step else before


@decide.register
def _prepare(
    event: models.Prepare,
    member: models.Member,
) -> models.MemberDecision:
    """Promise a switch at a step that the engine can not have reached.

    An engine holds one switch to come, so the one before must have taken
    effect.
    """
    repeated = (
        member.phase is models.Phase.PROMISED
        and event.ballot == member.promised
    )
    acceptable = event.ballot > member.promised and _may_switch(
        member,
        event.proposal,
    )
    promise = models.Promise(
        event.ballot,
        member.name,
        accepted=repeated or acceptable,
    )
    if acceptable:
        member = member._replace(
            phase=models.Phase.PROMISED,
            promised=event.ballot,
            proposal=event.proposal,
        )
    return models.MemberDecision(member, (models.Reply(promise),))


def _may_switch(member: models.Member, proposal: models.MapState) -> bool:
    """Return whether nothing stands against a switch."""
    return (
        member.phase is models.Phase.SERVING
        and proposal.since_step > member.horizon
        and member.current.since_step <= member.completed
        and proposal.map_id in member.staged_ids
    )


@decide.register
def _query(
    event: models.Query,
    member: models.Member,
) -> models.MemberDecision:
    """Report the newest decided map and hold until the resolver decides."""
    if event.ballot >= member.promised:
        member = member._replace(
            phase=models.Phase.QUERIED,
            promised=event.ballot,
            proposal=None,
        )
    report = models.Report(
        event.ballot,
        member.name,
        member.promised,
        member.current,
    )
    return models.MemberDecision(member, (models.Reply(report),))


@decide.register
def _decision(
    event: models.Decision,
    member: models.Member,
) -> models.MemberDecision:
    """Follow the decision of the ballot that was promised last."""
    if event.ballot != member.promised:
        return models.MemberDecision(member)
    serving = member._replace(phase=models.Phase.SERVING, proposal=None)
    decided = event.decided
    if decided is None or decided.since_step <= member.current.since_step:
        return models.MemberDecision(serving)
    switched = serving._replace(current=decided)
    return models.MemberDecision(switched, (models.OrderSwitch(decided),))


@decide.register
def _step_completed(
    event: models.StepCompleted,
    member: models.Member,
) -> models.MemberDecision:
    """Release further steps while no decision is awaited."""
    horizon = event.step + const.RELEASE_WINDOW_STEPS
    member = member._replace(completed=event.step)
    if member.phase is not models.Phase.SERVING or horizon <= member.horizon:
        return models.MemberDecision(member)
    released = member._replace(horizon=horizon)
    return models.MemberDecision(released, (models.OrderHorizon(horizon),))


@decide.register
def _map_staged(
    event: models.MapStaged,
    member: models.Member,
) -> models.MemberDecision:
    """Note that a map's weights are loaded."""
    staged_ids = member.staged_ids | {event.map_id}
    return models.MemberDecision(member._replace(staged_ids=staged_ids))


@decide.register
def _engine_read(
    event: models.EngineStateRead,
    member: models.Member,
) -> models.MemberDecision:
    """Take the engine's state over and ask the group before any release."""
    if member.phase is not models.Phase.RECOVERING:
        return models.MemberDecision(member)
    known = member._replace(
        current=event.current,
        horizon=event.horizon,
        completed=event.completed,
    )
    return models.MemberDecision(known, (models.Resolve(member.promised),))


@decide.register
def _held_too_long(
    event: models.DecisionTimedOut,
    member: models.Member,
) -> models.MemberDecision:
    """Resolve where no decision has come."""
    if member.phase is models.Phase.SERVING:
        return models.MemberDecision(member)
    return models.MemberDecision(member, (models.Resolve(member.promised),))
