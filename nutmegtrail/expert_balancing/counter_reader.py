"""Reads the expert counters of a sample of ranks.

Reading the counters of a rank pauses its group. In large fleets, one rank is
read often enough to notice a popularity shift within a few steps. The other
sampled ranks are read rarely, and again after a shift.
"""

import typing

import anyio

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import popularity
from nutmegtrail.expert_balancing import rank_groups
from nutmegtrail.gateway import models
from nutmegtrail.observability import logs
from nutmegtrail.ports import rank_control


class CounterReader:
    """Keeps the popularity of experts up to date."""

    def __init__(self, engines: rank_control.RankControl) -> None:
        """Initialize the reader without any counters."""
        self.popularity = popularity.Popularity()
        self._engines = engines
        self._sampled_at_seconds = float('-inf')
        self._failed_watches = 0

    def is_watching(self, members: typing.Sequence[models.Upstream]) -> bool:
        """Return whether one rank is read often instead of all sampled."""
        return can_watch(members) and popularity.is_steady(self.popularity)

    async def restart(self, members: list[models.Upstream]) -> None:
        """Read all sampled ranks and forget what was counted before.

        Demand may have shifted several times since this instance last led.
        """
        self.popularity = popularity.Popularity()
        await self.read_sample(members)

    async def read_sample(self, members: list[models.Upstream]) -> None:
        """Read all sampled ranks."""
        self._sampled_at_seconds = anyio.current_time()
        await self._read(
            rank_groups.sample_members(members), self.is_watching(members)
        )

    async def read_due_sample(self, members: list[models.Upstream]) -> None:
        """Read all sampled ranks unless the watched rank is enough."""
        if not self.is_watching(members):
            await self.read_sample(members)
            self.popularity = popularity.record_similarity(self.popularity)
            return
        now = anyio.current_time()
        if is_sample_due(
            now - self._sampled_at_seconds,
            now - self.popularity.shifted_at_seconds,
        ):
            await self.read_sample(members)

    async def watch(self, members: list[models.Upstream]) -> bool:
        """Read the watched rank; return whether the popularity shifted.

        After a shift, the others should be sampled at once, so that what they
        count from now on is known. A watched rank that is unreadable is
        replaced.
        """
        sampled = rank_groups.sample_members(members)
        watched = sampled[self._failed_watches % len(sampled)]
        if not await self._read([watched], is_watching=True):
            self._failed_watches += 1
            return False
        if not popularity.has_shifted(self.popularity):
            self.popularity = popularity.record_similarity(self.popularity)
            return False
        logs.decision(
            'expert-map:shift-noticed',
            upstream=watched.upstream_id,
            similarity=round(popularity.similarity(self.popularity) or 0, 3),
            usual_similarity=round(self.popularity.usual_similarity, 3),
            choices=sum(self.popularity.latest_choices),
        )
        self.popularity = popularity.reset_to_latest(self.popularity)
        self._sampled_at_seconds = anyio.current_time()
        return True

    async def _read(
        self, ranks: list[models.Upstream], is_watching: bool
    ) -> bool:
        """Read the counters of ranks; return whether any could be read."""
        choices_by_id = await rank_groups.query_all(
            self._engines.choices, ranks
        )
        now = anyio.current_time()
        readings_by_id = {
            rank.upstream_id: popularity.Reading(
                rank.started_at_ms,
                choices_by_id[rank.upstream_id],
                now,
            )
            for rank in ranks
            if rank.upstream_id in choices_by_id
        }
        self.popularity = popularity.observe(
            self.popularity,
            readings_by_id,
            now,
            const.WATCHED_HALF_LIFE_SECONDS
            if is_watching
            else const.POPULARITY_HALF_LIFE_SECONDS,
        )
        return bool(readings_by_id)


def can_watch(members: typing.Sequence[models.Upstream]) -> bool:
    """Return whether one sampled rank stands for enough requests.

    In small fleets, each rank counts too few.
    """
    return (
        len(members) // const.RANKS_PER_SAMPLED_RANK > const.MIN_SAMPLED_RANKS
    )


def is_sample_due(
    since_sample_seconds: float, since_shift_seconds: float
) -> bool:
    """Return whether all sampled ranks should be read again."""
    if since_shift_seconds < const.SHIFT_SAMPLING_SECONDS:
        return since_sample_seconds >= const.MIN_SAMPLE_INTERVAL_SECONDS
    return since_sample_seconds >= const.SAMPLE_INTERVAL_SECONDS
