"""Proposal of better expert maps by the first member of a group.

Every member may propose safely. Only the first one does, which avoids
competing ballots.
"""

import anyio

from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import editing
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.daemons import map_driver
from nutmegtrail.expert_map import const
from nutmegtrail.expert_map import load_estimate
from nutmegtrail.expert_map import rebalancing
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import rank_engine


class MapProposer:
    """Observes expert loads and proposes maps whose gain exceeds their cost."""

    def __init__(
        self,
        driver: map_driver.MapDriver,
        engine: rank_engine.RankEngine,
        store: key_value.KeyValueStore,
        metrics_registry: metrics.Metrics,
    ) -> None:
        """Initialize the proposer without load observations."""
        self._driver = driver
        self._engine = engine
        self._store = store
        self._metrics = metrics_registry
        self._estimate: load_estimate.Estimate | None = None

    async def run(self) -> None:
        """Evaluate the loads periodically until cancelled."""
        while True:
            rebalancing_settings = await self._read_settings()
            if rebalancing_settings is None:
                await anyio.sleep(const.SETTINGS_RETRY_SECONDS)
                continue
            await anyio.sleep(rebalancing_settings.interval_seconds)
            members = self._driver.members
            is_first = members[0] == self._driver.member.name
            if is_first and self._driver.has_all_members:
                await self._evaluate(rebalancing_settings)

    async def _evaluate(
        self, rebalancing_settings: configuration_models.Rebalancing
    ) -> None:
        """Observe the loads; propose a map whose gain exceeds the cost of moves."""
        read = await self._engine.read()
        if read.is_error():
            return
        state = read.ok
        if self._estimate is None:
            self._estimate = load_estimate.start(state.loads)
            return
        self._estimate = load_estimate.observe(self._estimate, state.loads)
        decision = rebalancing.decide(
            state.placement,
            self._estimate.level,
            load_estimate.standard_errors(self._estimate),
            state.speeds,
            rebalancing.Weights(
                rebalancing_settings.skew_weight,
                rebalancing_settings.move_weight,
                rebalancing_settings.horizon_seconds,
            ),
            state.placement.slots.size,
        )
        self._metrics.set_gauge('step_time_skew', decision.skew_before)
        logs.decision(
            'expert-map:considered',
            reason=decision.reason,
            moves=decision.moves,
            skew_before=decision.skew_before,
            skew_after=decision.skew_after,
        )
        if decision.placement is not None:
            self._metrics.increment('experts_moved', amount=decision.moves)
            await self._propose_until_switched(
                self._driver.stage_on_all_members(decision.placement)
            )

    async def _propose_until_switched(self, map_id: str) -> None:
        """Propose a staged map until this member has switched to it.

        Gives up after a limited number of attempts.
        """
        for _ in range(const.PROPOSAL_ATTEMPTS):
            await anyio.sleep(const.PROPOSAL_INTERVAL_SECONDS)
            if self._driver.member.current.map_id == map_id:
                return
            self._driver.propose(map_id)

    async def _read_settings(self) -> configuration_models.Rebalancing | None:
        """Return the rebalancing settings, or None if they cannot be read."""
        name = configuration_const.DEPLOYMENT_NAME
        found = await editing.read(self._store, name)
        document = None if found.is_error() else found.ok
        if document is None:
            return None
        stored = documents.parse_stored(
            document.content,
            configuration_models.DeploymentDocument,
        )
        return stored.deployment.rebalancing
